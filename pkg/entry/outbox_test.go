package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// TestStartsShareRecords guards against a status that is applied to the starts of another
// submission, a start that is missing from its record, and one record for each task of a
// large job.
func TestStartsShareRecords(t *testing.T) {
	ledger := contract.NewLedger(contract.DefaultLimits())
	entryOf := func(n contract.Sequence) *contract.LedgerEntry {
		return ledger.Accept(testStart, job(contract.SubmissionID{Sequence: n}, 3))
	}
	a, b := entryOf(1), entryOf(2)
	start := func(e *contract.LedgerEntry, task contract.TaskIndex) outgoing { return outgoing{entry: e, task: task} }
	end := func(e *contract.LedgerEntry) outgoing { return outgoing{entry: e, final: contract.Complete{}} }
	cases := map[string]struct {
		waiting []outgoing
		want    string
	}{
		"one job":               {[]outgoing{start(a, 0), start(a, 1), start(a, 2)}, "1:[0 1 2]"},
		"two jobs in turn":      {[]outgoing{start(a, 0), start(b, 0), start(b, 1), start(a, 1)}, "1:[0] 2:[0 1] 1:[1]"},
		"an end between starts": {[]outgoing{start(a, 0), end(b), start(a, 1)}, "1:[0] 2:end 1:[1]"},
		"an end after starts":   {[]outgoing{start(a, 0), end(a)}, "1:[0] 1:end"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOutbox("b-1")
			o.queued = tc.waiting
			batch, _ := o.nextBatch(testStart)
			got := ""
			for i, r := range batch {
				if i > 0 {
					got += " "
				}
				switch r := r.(type) {
				case contract.StartRecord:
					got += fmt.Sprintf("%d:%v", r.ID.Sequence, r.Tasks)
				case contract.SettleRecord:
					got += fmt.Sprintf("%d:end", r.ID.Sequence)
				}
			}
			if got != tc.want || o.records != len(batch) {
				t.Errorf("records: got %s, %d counted, want %s", got, o.records, tc.want)
			}
			for _, out := range o.takeInFlight() {
				start, ok := batch[out.record].(contract.StartRecord)
				if ok != (out.final == nil) || ok && start.ID != out.entry.Submission.ID {
					t.Errorf("task %d: got record %#v, want one of its submission", out.task, batch[out.record])
				}
			}
		})
	}
}
