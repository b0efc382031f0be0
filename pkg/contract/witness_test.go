package contract

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const testStart = 100 * clock.Minute

func testID(issuer vm.Incarnation, issuedAt clock.Millis) SubmissionID {
	return SubmissionID{DataCentre: "dc", Issuer: issuer, Witness: "w-1", IssuedAt: issuedAt, Sequence: Sequence(issuedAt)}
}

func startRecord(id SubmissionID, tasks ...TaskIndex) Record {
	return StartRecord{ID: id, Owner: "o", TaskCount: 3, Digest: Digest{1}, Tasks: tasks}
}

func settleRecord(id SubmissionID, a Answer) Record {
	return SettleRecord{ID: id, Owner: "o", Digest: Digest{1}, Answer: a}
}

// TestWitness guards against a witness that accepts records after it answered queries from
// their absence, and against answers that contradict earlier ones.
func TestWitness(t *testing.T) {
	id, other := testID("i-1", testStart), testID("i-1", testStart+1)
	// A step runs at its time after testStart; want is its result formatted as text.
	type step struct {
		at   clock.Millis
		do   func(w *Witness, now clock.Millis) any
		want string
	}
	record := func(batch BatchNumber, records ...Record) func(*Witness, clock.Millis) any {
		return func(w *Witness, now clock.Millis) any { return w.Record(now, "i-1", batch, records) }
	}
	ask := func(id SubmissionID, o owner.ID, absent bool) func(*Witness, clock.Millis) any {
		return func(w *Witness, now clock.Millis) any {
			a, needsRow := w.Ask(now, Query{ID: id, Owner: o, IssuerAbsent: absent})
			if f, ok := a.(Failed); ok {
				return fmt.Sprint("failed ", f.Tasks)
			}
			if r, ok := a.(Refused); ok && r != OutOfTouch() {
				return "a refusal that differs from the issuer's: " + r.Reason
			}
			return fmt.Sprintf("%T %t", a, needsRow)
		}
	}
	resubmit := func(id SubmissionID, d Digest) func(*Witness, clock.Millis) any {
		return func(w *Witness, now clock.Millis) any {
			a, _ := w.Ask(now, Query{ID: id, Owner: "o", Digest: d})
			return fmt.Sprintf("%T", a)
		}
	}
	setPairRow := func(row PairRow) func(*Witness, clock.Millis) any {
		return func(w *Witness, _ clock.Millis) any { w.SetPairRow("i-1", row); return "" }
	}
	handOver := func(last bool, records ...Record) func(*Witness, clock.Millis) any {
		return func(w *Witness, now clock.Millis) any { w.HandOver(now, "i-1", records, last); return "" }
	}
	evict := func(w *Witness, now clock.Millis) any { w.Evict(now); return fmt.Sprint(w.count, w.bytes) }
	pause := func(p clock.Millis) func(*Witness, clock.Millis) any {
		return func(w *Witness, _ clock.Millis) any { w.CompensatePause(p); return "" }
	}
	contact := func(w *Witness, now clock.Millis) any { w.RecordContact(now, "i-1"); return "" }
	statuses := func(s ...RecordStatus) string { return fmt.Sprint(s) }
	const undecided, needsRow = "contract.CannotTellYet false", "contract.CannotTellYet true"
	cases := []struct {
		name   string
		limits Limits
		steps  []step
	}{
		{"late copy of an overtaken batch", DefaultLimits(), []step{
			{0, record(2, startRecord(id, 0)), statuses(RecordAccepted)},
			{1, record(1, startRecord(other, 0)), statuses(RecordStale)},
			{2, record(2, startRecord(other, 0)), statuses(RecordStale)},
			{3, record(3, startRecord(id, 0, 1)), statuses(RecordAccepted)},
		}},
		{"issuer unresponsive for less and more than 3 s", DefaultLimits(), []step{
			{0, record(1, startRecord(id, 1)), statuses(RecordAccepted)},
			{UnreachableTimeout - 1, ask(id, "o", false), undecided},
			{UnreachableTimeout - 1, contact, ""},
			{2*UnreachableTimeout - 2, ask(id, "o", false), undecided},
			{2*UnreachableTimeout - 1, ask(other, "o", false), "contract.Refused false"},
			{2 * UnreachableTimeout, record(2, startRecord(other, 0)), statuses(RecordFenced)},
			{2 * UnreachableTimeout, ask(id, "o", false), needsRow},
			{2 * UnreachableTimeout, setPairRow(PairRowUnknown), ""},
			{2 * UnreachableTimeout, ask(id, "o", false), needsRow},
			{2 * UnreachableTimeout, setPairRow(PairFencedByWitness), ""},
			{2 * UnreachableTimeout, ask(id, "o", false), "failed [0 2 0]"},
			{2 * UnreachableTimeout, handOver(true, settleRecord(id, Complete{})), ""},
			{2 * UnreachableTimeout, ask(id, "o", false), "failed [0 2 0]"},
		}},
		{"issuer released the pair", DefaultLimits(), []step{
			{0, record(1, startRecord(id, 1), startRecord(other, 2)), statuses(RecordAccepted, RecordAccepted)},
			{UnreachableTimeout, ask(id, "o", false), needsRow},
			{UnreachableTimeout, setPairRow(PairReleasedByIssuer), ""},
			{LostTimeout, ask(id, "o", false), undecided},
			{LostTimeout, handOver(false, settleRecord(id, Complete{})), ""},
			{LostTimeout, ask(id, "o", false), "contract.Complete false"},
			{2*LostTimeout - 1, ask(other, "o", true), undecided},
			{2 * LostTimeout, ask(other, "o", false), undecided},
			{2 * LostTimeout, ask(other, "o", true), "failed [2 2 2]"},
			{2 * LostTimeout, handOver(false, settleRecord(other, Complete{})), ""},
			{2 * LostTimeout, ask(other, "o", true), "failed [2 2 2]"},
		}},
		{"witness paused", DefaultLimits(), []step{
			{0, record(1, startRecord(id, 0)), statuses(RecordAccepted)},
			{LostTimeout, pause(LostTimeout), ""},
			{LostTimeout + UnreachableTimeout - 1, ask(id, "o", false), undecided},
			{LostTimeout + UnreachableTimeout, ask(id, "o", false), needsRow},
			{LostTimeout + UnreachableTimeout, setPairRow(PairReleasedByIssuer), ""},
			{3 * LostTimeout, pause(LostTimeout), ""},
			{3*LostTimeout - 1, ask(id, "o", true), undecided},
			{3 * LostTimeout, ask(id, "o", true), "failed [2 2 2]"},
		}},
		{"issuer shut down", DefaultLimits(), []step{
			{0, record(1, startRecord(id, 0), settleRecord(id, Complete{})), statuses(RecordAccepted, RecordAccepted)},
			{1, handOver(true), ""},
			{2, ask(id, "o", false), "contract.Complete false"},
			{2, ask(other, "o", false), "contract.Refused false"},
			{2, ask(id, "p", false), "contract.NotFound false"},
		}},
		{"sent again with other content", DefaultLimits(), []step{
			{0, record(1, startRecord(id, 0), settleRecord(other, Complete{})), statuses(RecordAccepted, RecordAccepted)},
			{UnreachableTimeout, resubmit(id, Digest{1}), "contract.CannotTellYet"},
			{UnreachableTimeout, resubmit(id, Digest{2}), "contract.Conflict"},
			{UnreachableTimeout, resubmit(other, Digest{1}), "contract.Complete"},
			{UnreachableTimeout, resubmit(other, Digest{2}), "contract.Conflict"},
		}},
		{"full", Limits{IDs: 1, Bytes: 1 << 20}, []step{
			{0, record(1, startRecord(id, 0), startRecord(other, 0)), statuses(RecordAccepted, RecordFull)},
			{1, record(2, startRecord(id, 1), settleRecord(id, Complete{})), statuses(RecordAccepted, RecordAccepted)},
			{RetentionWindow, evict, "1 " + fmt.Sprint((&witnessEntry{owner: "o", final: Complete{}}).bytes())},
			{RetentionWindow + 1, evict, "0 0"},
			{RetentionWindow + 1, record(3, startRecord(id, 0), startRecord(other, 0)), statuses(RecordExpired, RecordAccepted)},
			{RetentionWindow + 1, ask(id, "o", false), "contract.Expired false"},
		}},
		{"full in bytes", Limits{IDs: 10, Bytes: 100}, []step{
			{0, record(1, startRecord(id, 0), startRecord(other, 0)), statuses(RecordAccepted, RecordFull)},
		}},
		{"records of another issuer or for another witness", DefaultLimits(), []step{
			{0, record(1, startRecord(testID("j-1", testStart), 0)), statuses(RecordFenced)},
			{1, record(2, startRecord(SubmissionID{Issuer: "i-1", Witness: "x-1"}, 0)), statuses(RecordFenced)},
			{2, ask(SubmissionID{Issuer: "i-1", Witness: "x-1"}, "o", false), undecided},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := NewWitness(WitnessConfig{Self: "w-1", Limits: tc.limits})
			for i, s := range tc.steps {
				if got := fmt.Sprint(s.do(w, testStart+s.at)); got != s.want {
					t.Errorf("step %d: got %s, want %s", i+1, got, s.want)
				}
			}
		})
	}
}

// TestLedgerBounds guards against a ledger that exceeds its limits or evicts entries before
// the end of the RetentionWindow.
func TestLedgerBounds(t *testing.T) {
	l := NewLedger(Limits{IDs: 2, Bytes: 64 << 20})
	submission := func(n clock.Millis) Submission {
		return Submission{ID: testID("i-1", testStart+n), Owner: "o", Tasks: make([]Task, 1)}
	}
	ended, running := l.Accept(testStart, submission(1)), l.Accept(testStart, submission(2))
	l.Conclude(ended, Complete{Results: [][]byte{{1}}})
	got := []any{l.CanAccept(submission(3)), l.Refuse(testStart, submission(3), Refused{}), l.Refuse(testStart, submission(4), Refused{}), l.Refuse(testStart, submission(5), Refused{})}
	l.Evict(testStart + RetentionWindow)
	got = append(got, len(l.entries))
	l.Evict(testStart + RetentionWindow + 1)
	got = append(got, len(l.entries), l.refused, l.bytes == running.size, l.CanAccept(submission(6)))
	want := "[false true true false 4 1 0 true true]"
	if fmt.Sprint(got) != want {
		t.Errorf("ledger: got %v, want %v", got, want)
	}
	l.Conclude(running, Failed{})
	l.Evict(testStart + 2*RetentionWindow + 2)
	if got := fmt.Sprint(len(l.entries), len(l.refs), l.bytes, l.Idle()); got != "0 0 0 true" {
		t.Errorf("empty ledger: got %s, want 0 0 0 true", got)
	}
}

// TestForgedIssuers guards against queries with invented issuers that use up the capacity
// for issuers with records.
func TestForgedIssuers(t *testing.T) {
	w := NewWitness(WitnessConfig{Self: "w-1", Limits: DefaultLimits()})
	for i := range maxIssuers {
		w.Ask(testStart, Query{ID: testID(vm.Incarnation(fmt.Sprint("x-", i)), testStart), Owner: "o"})
	}
	id := testID("i-1", testStart)
	if got := w.Record(testStart, "i-1", 1, []Record{startRecord(id, 0)})[0]; got != RecordAccepted {
		t.Errorf("status of a record after queries with invented issuers: got %d, want %d", got, RecordAccepted)
	}
}
