package entry

import (
	"reflect"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// check asserts the invariants under any faults: no second start, no partial answer, no false
// refusal, and the same final answer to every request.
func (cl *cluster) check() {
	cl.t.Helper()
	for key, n := range cl.starts {
		if n > 1 {
			cl.t.Errorf("starts of %s: got %d, want at most 1", key, n)
		}
	}
	for id, answers := range cl.answers {
		var first contract.Answer
		for _, a := range answers {
			if !contract.IsFinal(a) {
				continue
			}
			cl.checkFinal(id, a)
			if first == nil {
				first = a
			}
			if cl.answerLost(id) {
				continue
			}
			if !sameFinal(first, a) {
				cl.t.Errorf("final answers of %s: got %#v and %#v, want the same", id, first, a)
			}
		}
	}
}

// answerLost reports whether the only VM that held the final answer has crashed: the issuer of
// an id without a witness, the issuer before it handed over the answers given after a release,
// or the witness that had fenced the issuer. Its answer is then replaced by "every task may
// have run" (docs/design.md, section 3).
func (cl *cluster) answerLost(id contract.SubmissionID) bool {
	issuer, witness := cl.node(id.Issuer), cl.node(id.Witness)
	if witness == nil {
		return issuer.crashed
	}
	if o := issuer.control.outboxes[id.Witness]; issuer.crashed && o != nil {
		for _, e := range append(o.handOver.inFlight, o.unreported...) {
			if e.Submission.ID == id {
				return true
			}
		}
	}
	row := cl.rows[contract.Pair{Issuer: id.Issuer, Witness: id.Witness}]
	return witness.crashed && row == contract.PairFencedByWitness
}

func (cl *cluster) checkFinal(id contract.SubmissionID, a contract.Answer) {
	cl.t.Helper()
	switch a := a.(type) {
	case contract.Complete:
		if len(a.Results) != cl.taskCounts[id] {
			cl.t.Errorf("results of %s: got %d, want %d", id, len(a.Results), cl.taskCounts[id])
		}
	case contract.Refused:
		for i := range cl.taskCounts[id] {
			if n := cl.starts[startKey(id, contract.TaskIndex(i))]; n > 0 {
				cl.t.Errorf("starts of refused %s/%d: got %d, want 0 (%s)", id, i, n, a.Reason)
			}
		}
	case contract.Failed:
		for i, s := range a.Tasks {
			if n := cl.starts[startKey(id, contract.TaskIndex(i))]; n > 0 && s == contract.NotRun {
				cl.t.Errorf("starts of %s/%d, answered as not run: got %d, want 0", id, i, n)
			}
		}
	}
}

func sameFinal(a, b contract.Answer) bool {
	if _, ok := a.(contract.Refused); ok {
		_, ok = b.(contract.Refused)
		return ok
	}
	return reflect.DeepEqual(a, b)
}
