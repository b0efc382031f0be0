package entry

import (
	"reflect"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// check asserts what holds whatever happened: no second start, no partial answer, no
// false refusal, and one ending for all who asked.
func (w *world) check() {
	w.t.Helper()
	for key, n := range w.starts {
		if n > 1 {
			w.t.Errorf("starts of %s: got %d, want at most 1", key, n)
		}
	}
	for id, answers := range w.endings {
		var first contract.Answer
		for _, a := range answers {
			if !contract.IsFinal(a) {
				continue
			}
			w.checkEnding(id, a)
			if first == nil {
				first = a
			}
			if w.unknowable(id) {
				continue
			}
			if !sameEnding(first, a) {
				w.t.Errorf("endings of %s: got %#v and %#v, want one ending", id, first, a)
			}
		}
	}
}

// unknowable reports whether the only VM that knew the ending has crashed: the issuer
// of an id without witness, the issuer before it handed over what it ended after a
// release, or the witness that had fenced the issuer. What it told is then replaced by
// "every task may have run" (docs/design.md, section 3).
func (w *world) unknowable(id contract.SubmissionID) bool {
	issuer, witness := w.node(id.Issuer), w.node(id.Witness)
	if witness == nil {
		return issuer.crashed
	}
	if o := issuer.control.outboxes[id.Witness]; issuer.crashed && o != nil {
		for _, e := range append(o.handOver.underWay, o.owed...) {
			if e.Submission.ID == id {
				return true
			}
		}
	}
	row := w.rows[contract.Pair{Issuer: id.Issuer, Witness: id.Witness}]
	return witness.crashed && row == contract.PairFencedByWitness
}

func (w *world) checkEnding(id contract.SubmissionID, a contract.Answer) {
	w.t.Helper()
	switch a := a.(type) {
	case contract.Complete:
		if len(a.Results) != w.taskSize[id] {
			w.t.Errorf("results of %s: got %d, want %d", id, len(a.Results), w.taskSize[id])
		}
	case contract.Refused:
		for i := range w.taskSize[id] {
			if n := w.starts[startKey(id, contract.TaskIndex(i))]; n > 0 {
				w.t.Errorf("starts of refused %s/%d: got %d, want 0 (%s)", id, i, n, a.Reason)
			}
		}
	case contract.Failed:
		for i, s := range a.Tasks {
			if n := w.starts[startKey(id, contract.TaskIndex(i))]; n > 0 && s == contract.NotRun {
				w.t.Errorf("starts of %s/%d, answered as not run: got %d, want 0", id, i, n)
			}
		}
	}
}

func sameEnding(a, b contract.Answer) bool {
	if _, ok := a.(contract.Refused); ok {
		_, ok = b.(contract.Refused)
		return ok
	}
	return reflect.DeepEqual(a, b)
}
