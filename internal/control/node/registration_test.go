package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// vmTable is the store's table of VMs with the row of one VM, "me", and processes of that VM.
type vmTable struct {
	now clock.Millis
	// row is the row if revision is not 0; it may be unreadable.
	row        shard.VM
	revision   int64
	unreadable bool
	version    int64
	processes  []*Control
	// writes are those that were requested, and lost says that the store answers none.
	writes []WriteVM
	lost   bool
	logged map[Topic]int
}

// newVMTable returns the table of a store that has never been written to.
func newVMTable() *vmTable { return &vmTable{now: 100_000, logged: make(map[Topic]int)} }

// start starts a process, which reads the table at once.
func (s *vmTable) start(i vm.Incarnation) {
	c := New(Config{Self: newVM("centro", string(i)), DataCentres: []datacentre.ID{"centro"}, Timeouts: leader.DefaultTimeouts(1000, 50, 1300, 2000), Successors: 3, Now: s.now})
	s.processes = append(s.processes, c)
	s.read(c, s.version)
}

// read passes the table to a process, as of a version.
func (s *vmTable) read(c *Control, version int64) {
	e := VMsLoaded{Version: version, OwnRevision: s.revision}
	if s.revision != 0 && !s.unreadable {
		e.VMs = []shard.VM{s.row}
	}
	s.handle(c, e)
}

func (s *vmTable) handle(c *Control, e Event) {
	for _, a := range c.Handle(s.now, e) {
		switch a := a.(type) {
		case WriteVM:
			s.writes = append(s.writes, a)
			s.write(c, a)
		case LogEvent:
			s.logged[a.Topic]++
		default:
		}
	}
}

// write carries out a write if its condition holds, and answers it.
func (s *vmTable) write(c *Control, w WriteVM) {
	if s.lost || w.Expected != s.revision {
		s.handle(c, VMWritten{})
		return
	}
	s.put(w.VM)
	s.handle(c, VMWritten{Revision: s.revision, Written: true})
}

// put writes the row without a condition. No process reads it yet.
func (s *vmTable) put(v shard.VM) {
	s.version++
	s.row, s.revision, s.unreadable = v, s.version, false
	s.row.Revision = s.revision
}

// advance ticks, and lets all processes read the table every 50 ms.
func (s *vmTable) advance(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now += 10 {
		for _, c := range s.processes {
			s.handle(c, Tick{})
			if s.now%50 == 0 {
				s.read(c, s.version)
			}
		}
	}
}

func generationOf(name string, g shard.Generation) shard.VM {
	v := newVM("centro", name)
	v.Generation = g
	return v
}

// Guards against a VM that may lead no shard, nor succeed a leader, since the row of a former process has taken the
// place of its own, or its row was removed or has become unreadable.
func TestOverwrittenRowIsWrittenAgain(t *testing.T) {
	for name, c := range map[string]struct {
		overwrite  func(s *vmTable)
		generation shard.Generation
	}{
		"former process":                         {func(s *vmTable) { s.put(generationOf("me-0", 3)) }, 4},
		"former process of an earlier version":   {func(s *vmTable) { s.put(generationOf("me-0", 0)) }, 4},
		"process that started from the same row": {func(s *vmTable) { s.put(generationOf("me-0", 4)) }, 5},
		"row of another VM":                      {func(s *vmTable) { s.put(generationOf("you-1", 9)) }, 4},
		"unreadable row":                         {func(s *vmTable) { s.put(shard.VM{}); s.unreadable = true }, 4},
		"removed row":                            {func(s *vmTable) { s.version++; s.revision = 0 }, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := newVMTable()
			s.put(generationOf("me-0", 3))
			s.start("me-1")
			if s.row.Incarnation != "me-1" || s.row.Generation != 4 {
				t.Fatalf("got row %+v after the start, want that of me-1 in generation 4", s.row)
			}
			s.advance(100)
			c.overwrite(s)
			s.lost = true
			s.advance(2 * clock.Second)
			if got := len(s.writes) - 1; got < 3 || got > 15 {
				t.Errorf("got %d writes within 2 s that the store does not answer, want 3 to 15", got)
			}
			s.lost = false
			s.advance(300)
			if s.row.Incarnation != "me-1" || s.row.Generation != c.generation || s.revision == 0 || s.unreadable {
				t.Errorf("got row %+v of revision %d, want that of me-1 in generation %d", s.row, s.revision, c.generation)
			}
			before := len(s.writes)
			s.advance(clock.Minute)
			if got := len(s.writes) - before; got != 0 || s.logged[RowOverwritten] == 0 || s.logged[VMReplaced] != 0 {
				t.Errorf("got %d more writes and events %v, want none and RowOverwritten", got, s.logged)
			}
		})
	}
}

// Guards against the late write of a former process that replaces the row of the present one, and against a first write
// that the store has lost and nobody repeats.
func TestRowIsWrittenOnTheConditionOfTheOneBefore(t *testing.T) {
	s := newVMTable()
	s.put(generationOf("me-0", 3))
	s.lost = true
	s.start("me-1")
	late := s.writes[0]
	s.advance(100)
	if len(s.writes) != 1 {
		t.Errorf("got %d writes within 100 ms, want a pause after the first", len(s.writes))
	}
	s.lost = false
	s.advance(100)
	s.processes = nil
	s.start("me-2")
	if s.write(New(Config{Self: newVM("centro", "me-1")}), late); s.row.Incarnation != "me-2" || s.row.Generation != 5 {
		t.Errorf("got row %+v after the late write of me-1, want that of me-2 in generation 5", s.row)
	}
}

// Guards against a process that gives its row up to a former one, whose write is carried out late while the store has not
// answered its own.
func TestLateWriteBeforeTheFirstAnswer(t *testing.T) {
	s := newVMTable()
	s.put(generationOf("me-0", 3))
	s.lost = true
	s.start("me-2")
	s.put(generationOf("me-1", 5))
	s.advance(500)
	s.lost = false
	s.advance(300)
	if s.row.Incarnation != "me-2" || s.row.Generation != 6 || s.logged[VMReplaced] != 0 {
		t.Errorf("got row %+v and events %v, want that of me-2 in generation 6", s.row, s.logged)
	}
}

// Guards against a second write because of a read that the store answered before the first.
func TestReadBeforeTheWriteChangesNothing(t *testing.T) {
	s := newVMTable()
	s.start("me-1")
	written := s.version
	s.revision = 0
	s.read(s.processes[0], written-1)
	s.advance(0)
	if len(s.writes) != 1 || s.logged[RowOverwritten] != 0 {
		t.Errorf("got %d writes and events %v, want one write", len(s.writes), s.logged)
	}
}

// Guards against two processes of a VM that replace the rows of each other for ever, and against a replaced one that
// takes the row of the later one back when it changes again.
func TestReplacedProcessLeavesTheRowToTheLaterOne(t *testing.T) {
	s := newVMTable()
	s.start("me-1")
	s.advance(100)
	s.start("me-2")
	s.advance(10 * clock.Second)
	if s.row.Incarnation != "me-2" || len(s.writes) != 2 || s.logged[VMReplaced] != 1 {
		t.Fatalf("got row %+v after %d writes and events %v, want that of me-2 after two", s.row, len(s.writes), s.logged)
	}
	s.processes = s.processes[:1]
	s.put(generationOf("me-0", 0))
	s.advance(10 * clock.Second)
	if s.row.Incarnation != "me-0" {
		t.Errorf("got row %+v, want the replaced process to leave it alone", s.row)
	}
}

// Guards against two processes that start at the same time, from the same row, and replace the rows of each other.
func TestProcessesThatStartTogetherEndWithOneRow(t *testing.T) {
	s := newVMTable()
	s.lost = true
	s.start("me-1")
	s.start("me-2")
	s.lost = false
	s.advance(10 * clock.Second)
	if len(s.writes) > 6 || s.logged[VMReplaced] != 1 {
		t.Errorf("got %d writes and events %v, want 6 at most and one VM replaced", len(s.writes), s.logged)
	}
}
