package crash

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// crashOf returns a proved crash of an endpoint under tasks.
func crashOf(id datacentre.EndpointID, age clock.Millis, tasks ...job.TaskName) Record {
	return Record{ID: ID{Endpoint: id, Incarnation: 1}, Shard: "centro", Tasks: tasks, Age: age, Abrupt: true, Proved: true}
}

func suspicionOf(id datacentre.EndpointID, age clock.Millis, tasks ...job.TaskName) Record {
	r := crashOf(id, age, tasks...)
	r.Proved = false
	return r
}

func silent(r Record) Record {
	r.Abrupt = false
	return r
}

func unconfirmed(r Record) Record {
	r.Unconfirmed = r.Tasks
	return r
}

// Guards against tasks that are given up on too little evidence, and against deadly ones that are not.
func TestVerdict(t *testing.T) {
	for _, tt := range []struct {
		name    string
		records []Record
		want    Verdict
	}{
		{"no crash", []Record{crashOf("a", 9000, "u")}, Unsuspected},
		{"one crash", []Record{crashOf("a", 9000, "t")}, Suspected},
		{"two crashes, alone in the last", []Record{crashOf("a", 9000, "t", "u"), crashOf("b", 5000, "t")}, Deadly},
		{"two crashes, alone in the first", []Record{crashOf("a", 9000, "t"), crashOf("b", 5000, "t", "u")}, Deadly},
		{"two crashes, never alone", []Record{crashOf("a", 9000, "t", "u"), crashOf("b", 5000, "t", "v")}, Suspected},
		{"two records of one crash", []Record{crashOf("a", 9000, "t"), crashOf("a", 8000, "t")}, Suspected},
		{"last crash a moment ago", []Record{crashOf("a", 9000, "t"), crashOf("b", CommonCauseWindow-1, "t")}, Pending},
		{"two suspicions", []Record{suspicionOf("a", 5000, "t"), suspicionOf("b", 4000, "t")}, Pending},
		{"one crash, one suspicion", []Record{crashOf("a", 5000, "t"), suspicionOf("b", 4000, "t")}, Pending},
		{"suspicions without proof for long", []Record{suspicionOf("a", 9000, "t"), suspicionOf("b", ProofTimeout, "t")}, Suspected},
		{"two endpoints silent before", []Record{silent(crashOf("a", 9000, "t")), silent(crashOf("b", 5000, "t"))}, Suspected},
		{"three endpoints silent before", []Record{silent(crashOf("a", 9000, "t")), silent(crashOf("b", 5000, "t")), silent(crashOf("c", 4000, "t"))}, Suspected},
		{"start not confirmed at one", []Record{unconfirmed(crashOf("a", 9000, "t")), crashOf("b", 5000, "t")}, Suspected},
		{"three crashes, start not confirmed at one", []Record{unconfirmed(crashOf("a", 9000, "t")), crashOf("b", 5000, "t"), crashOf("c", 4000, "t")}, Deadly},
		{"unrelated crashes at the same time", []Record{crashOf("a", 9000, "t"), crashOf("b", 8980, "u"), crashOf("c", 8960, "v")}, Suspected},
		{"four endpoints at once", []Record{crashOf("a", 9000, "t"), crashOf("b", 8980, "u"), crashOf("c", 8960, "v"), crashOf("d", 8955, "w")}, Unsuspected},
		{"a suspicion, then its proof", []Record{suspicionOf("a", 9000, "t"), crashOf("a", 5000), crashOf("b", 4000, "t")}, Deadly},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, reverse := range []bool{false, true} {
				h := NewHistory()
				records := slices.Clone(tt.records)
				if reverse {
					slices.Reverse(records)
				}
				for _, r := range records {
					h.Add(r, 100_000)
				}
				if got := h.Verdict("t", 100_000); got != tt.want {
					t.Errorf("reversed %v: got verdict %v, want %v", reverse, got, tt.want)
				}
			}
		})
	}
}

// Guards against blame that stays although a task has ended by itself, and against a deadly task that
// is not found since an innocent one ran beside it each time.
func TestClearedTasksShareNoBlame(t *testing.T) {
	h := NewHistory()
	h.Add(crashOf("a", 9000, "t", "u"), 100_000)
	h.Add(crashOf("b", 5000, "t", "u"), 100_000)
	h.Clear("u")
	if got, want := h.Verdict("u", 100_000), Unsuspected; got != want {
		t.Errorf("cleared task: got verdict %v, want %v", got, want)
	}
	if got, want := h.Verdict("t", 100_000), Deadly; got != want {
		t.Errorf("the other task: got verdict %v, want %v", got, want)
	}
}

// Guards against blame that outlives an answer of the same incarnation, and against a later crash
// of that incarnation that does not count.
func TestWithdrawnCrash(t *testing.T) {
	for name, add := range map[string]func(*History, Record, clock.Millis){"suspected": (*History).Suspect, "proved": (*History).Prove} {
		t.Run(name, func(t *testing.T) {
			h, other := NewHistory(), NewHistory()
			exchange := func(now clock.Millis) {
				records, _ := h.Since(0, maxRecords, now)
				for _, r := range records {
					other.Add(r, now)
				}
			}
			s := suspicionOf("a", 0, "t")
			add(h, s, 1000)
			exchange(1000)
			h.Withdraw(s.ID, 0, 1500)
			exchange(1500)
			add(h, suspicionOf("a", 0, "u"), 2000)
			exchange(2000)
			h.Prove(suspicionOf("a", 0), 5000)
			for _, h := range []*History{h, other} {
				if got, want := h.Verdict("u", 6000), Suspected; got != want {
					t.Errorf("task of the later crash: got verdict %v, want %v", got, want)
				}
				if got, want := h.Verdict("t", 6000), Unsuspected; got != want {
					t.Errorf("task of the withdrawn crash: got verdict %v, want %v", got, want)
				}
			}
		})
	}
}

// Guards against blame for a task whose start an endpoint refused after its crash, also if another
// VM sends the record back.
func TestTaskOfARefusedStartIsRemoved(t *testing.T) {
	h := NewHistory()
	r := crashOf("a", 0, "t", "u")
	h.Add(r, 1000)
	h.Remove(r.ID, "u")
	h.Add(r, 1100)
	if got, want := h.Verdict("u", 2000), Unsuspected; got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
}

// Guards against histories that differ after their VMs have exchanged all records, in any order and
// repeatedly, and against an exchange that never ends.
func TestExchangeOfHistories(t *testing.T) {
	a, b := NewHistory(), NewHistory()
	for i := range 40 {
		task := job.TaskName(fmt.Sprint("t", i%7))
		h := a
		if i%2 == 0 {
			h = b
		}
		h.Add(Record{ID: ID{Endpoint: datacentre.EndpointID(fmt.Sprint("e", i%13)), Incarnation: endpoint.Incarnation(i / 13)}, Shard: "centro", Tasks: []job.TaskName{task}, Age: clock.Millis(1000 * i), Abrupt: true, Proved: i%3 == 0}, 100_000)
	}
	var fromA, fromB Revision
	for range 20 {
		var records []Record
		records, fromA = a.Since(fromA, 5, 100_000)
		for _, r := range records {
			b.Add(r, 100_000)
		}
		records, fromB = b.Since(fromB, 5, 100_000)
		for _, r := range records {
			a.Add(r, 100_000)
		}
	}
	if got, _ := a.Since(fromA, 5, 100_000); len(got) != 0 {
		t.Errorf("got %d records left to send, want none", len(got))
	}
	for i := range 7 {
		task := job.TaskName(fmt.Sprint("t", i))
		if got, want := a.Verdict(task, 100_000), b.Verdict(task, 100_000); got != want {
			t.Errorf("%s: got verdict %v at one VM and %v at the other, want the same", task, got, want)
		}
	}
}

// Guards against a history that grows without bound, and keeps tasks of crashes that it has dropped.
func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory()
	now := clock.Millis(1_000_000)
	for i := range 3 * maxRecords {
		now += 400
		h.Add(crashOf(datacentre.EndpointID(fmt.Sprint("e", i)), 0, job.TaskName(fmt.Sprint("t", i))), now)
	}
	if got := len(h.entries); got > maxRecords {
		t.Errorf("got %d crashes, want at most %d", got, maxRecords)
	}
	h.Expire(now + Retention)
	if len(h.entries) != 0 || len(h.byTask) != 0 || len(h.byID) != 0 || len(h.cleared) != 0 {
		t.Errorf("got %d crashes and %d tasks after the retention period, want none", len(h.entries), len(h.byTask))
	}
}

// Guards against a deadly task that is excused because other endpoints were cut off at the same time:
// withdrawn suspicions are no common cause.
func TestWithdrawnSuspicionsAreNoCommonCause(t *testing.T) {
	h := NewHistory()
	h.Add(crashOf("a", 9000, "t"), 100_000)
	h.Add(crashOf("b", 5000, "t"), 100_000)
	for _, id := range []datacentre.EndpointID{"x", "y", "z"} {
		r := suspicionOf(id, 5000)
		h.Add(r, 100_000)
		h.Withdraw(r.ID, 0, 100_000)
	}
	if got := h.Verdict("t", 100_000); got != Deadly {
		t.Errorf("got verdict %v, want %v", got, Deadly)
	}
}

// Guards against tasks of a failed rack that are blamed, and against a deadly task that is excused each
// time that its crash comes with others.
func TestCommonCauses(t *testing.T) {
	h := NewHistory()
	crashTogether := func(age clock.Millis, first string, tasks ...job.TaskName) {
		for i, n := range tasks {
			h.Add(crashOf(datacentre.EndpointID(first+string(rune('a'+i))), age, n), 100_000)
		}
	}
	crashTogether(9000, "1", "t", "u", "v", "w")
	if got := h.Verdict("t", 100_000); got != Unsuspected {
		t.Errorf("after one common cause: got verdict %v, want %v", got, Unsuspected)
	}
	crashTogether(6000, "2", "t", "x", "y", "z")
	if got := h.Verdict("t", 100_000); got != Suspected {
		t.Errorf("after two common causes: got verdict %v, want %v", got, Suspected)
	}
	if got := h.Verdict("u", 100_000); got != Unsuspected {
		t.Errorf("beside it: got verdict %v, want %v", got, Unsuspected)
	}
	h.Add(crashOf("3a", 3000, "t"), 100_000)
	if got := h.Verdict("t", 100_000); got != Deadly {
		t.Errorf("after a crash of its own: got verdict %v, want %v", got, Deadly)
	}
}
