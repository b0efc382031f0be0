package node

import (
	"fmt"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// maxCancellationsPerRow and maxCancellationBytesPerRow, of names that need no escapes, keep a row below the
	// 64 KB that the store accepts, in base64. Each byte of a name may take six.
	maxCancellationsPerRow     = 100
	maxCancellationBytesPerRow = 7 << 10
	// minSaveInterval and maxSaveInterval bound the interval between the writes of a VM. Within them, it is
	// saveIntervalPerVM for each VM, so that all together make 100 writes a second at most: a part of a table
	// handles 250.
	minSaveInterval   = clock.Millis(100)
	maxSaveInterval   = clock.Second
	saveIntervalPerVM = clock.Millis(10)
	// cancelLoadRetry is the pause after a read of the stored cancellations that failed.
	cancelLoadRetry = clock.Millis(150)
	// cancelLoadPatience is how long an answer may take before the read is sent a second time: the store answers
	// within 4 ms, or 60 times slower while it is overloaded. A read that has no answer ends after 800 ms.
	cancelLoadPatience = clock.Millis(300)
	maxCancelLoads     = 2
	// foreignRowRetention is how long rows of other VMs are left to them.
	foreignRowRetention = 2 * cancelRetention
	// removalInterval is the interval between removals of rows, maxRowsPerRemoval the number of entries that
	// the store accepts in a call, and maxRemovals how often the removal of a row is tried.
	removalInterval   = 5 * clock.Second
	maxRowsPerRemoval = 100
	maxRemovals       = 3
)

// storedCancellations are the rows of cancellations in the store, as far as this VM writes, reads or removes them.
type storedCancellations struct {
	// waiting are the cancellations without a row, saving those of the write that is under way.
	waiting    []*cancellation
	saving     []*cancellation
	savingRow  CancellationRow
	lastRow    uint64
	nextSaveAt clock.Millis
	// requested is the latest read, loaded the latest one that was answered, or 0. A read that failed is repeated
	// at retryAt, which is 0 if none has.
	requested, loaded    CancellationLoad
	requestedAt, retryAt clock.Millis
	// unanswered counts the reads that are under way.
	unanswered int
	// rows are to be removed, in no order.
	rows          map[CancellationRow]rowRemoval
	nextRemovalAt clock.Millis
}

// rowRemoval says when a row is to be removed, and how often that has been tried.
type rowRemoval struct {
	at    clock.Millis
	tries int
}

// storeCancellation requests a row for a cancellation that a caller has sent, unless it has a recent one.
func (n *Control) storeCancellation(c *cancellation) {
	if c.storing || c.storedAt != 0 && n.now < c.storedAt+cancelRetention/2 {
		return
	}
	c.storing, c.storedAt = true, 0
	n.storedCancellations.waiting = append(n.storedCancellations.waiting, c)
	n.saveCancellations()
}

// saveCancellations writes the cancellations that wait for a row. One write of this VM is under way at a time.
func (n *Control) saveCancellations() {
	s := &n.storedCancellations
	if s.savingRow != "" || len(s.waiting) == 0 || n.now < s.nextSaveAt {
		return
	}
	count, bytes := 0, 0
	for count < min(len(s.waiting), maxCancellationsPerRow) && bytes < maxCancellationBytesPerRow {
		bytes += len(s.waiting[count].Job) + len(s.waiting[count].Origin)
		count++
	}
	s.saving, s.waiting = s.waiting[:count:count], slices.Clone(s.waiting[count:])
	s.lastRow++
	s.savingRow = CancellationRow(fmt.Sprintf("%s.%d", n.config.Self.Incarnation, s.lastRow))
	s.nextSaveAt = n.now + min(max(clock.Millis(len(n.vms))*saveIntervalPerVM, minSaveInterval), maxSaveInterval)
	a := SaveCancellations{Row: s.savingRow}
	for _, c := range s.saving {
		a.All = append(a.All, c.Cancellation)
	}
	n.emit(a)
}

// handleCancellationsSaved confirms the cancellations of a row, or writes those again for which callers wait.
func (n *Control) handleCancellationsSaved(e CancellationsSaved) {
	s := &n.storedCancellations
	if e.Row != s.savingRow {
		return
	}
	saved := s.saving
	s.saving, s.savingRow = nil, ""
	// A write without an answer may have been carried out.
	s.removeLater(e.Row, n.now+cancelRetention)
	for _, c := range saved {
		c.storing = false
		switch {
		case e.OK:
			c.storedAt = n.now
			n.confirm(c)
		case len(c.waiters) > 0:
			c.storing = true
			s.waiting = append(s.waiting, c)
		}
	}
}

// loadCancellations reads the stored cancellations.
func (n *Control) loadCancellations() CancellationLoad {
	s := &n.storedCancellations
	s.requested++
	s.unanswered++
	s.requestedAt, s.retryAt = n.now, 0
	n.emit(LoadCancellations{Load: s.requested})
	return s.requested
}

// handleCancellationsLoaded applies the stored cancellations, and lets leaders start tasks that have waited for
// them. They were acknowledged, so there is no limit to those that are kept.
func (n *Control) handleCancellationsLoaded(e CancellationsLoaded) {
	s := &n.storedCancellations
	s.unanswered--
	if !e.OK {
		if e.Load == s.requested {
			s.retryAt = n.now + cancelLoadRetry
		}
		return
	}
	for _, row := range slices.Sorted(maps.Keys(e.Rows)) {
		if _, known := s.rows[row]; !known && row != s.savingRow {
			s.removeLater(row, n.now+foreignRowRetention)
		}
		for _, j := range e.Rows[row] {
			n.recordCancellation(j, len(n.cancellations)+1)
		}
	}
	s.loaded = max(s.loaded, e.Load)
	for _, id := range n.shards {
		n.releaseStarts(id)
	}
}

// releaseStarts lets the leader of a shard start tasks once it knows the cancellations: they have been read since
// it took over. If the store does not answer, the leader goes on with those that this VM was told of.
func (n *Control) releaseStarts(id shard.ID) {
	led := n.ledShards[id]
	if led == nil || led.cancellations == 0 || n.storedCancellations.loaded < led.cancellations && !n.isStoreLost() {
		return
	}
	led.cancellations = 0
	n.sendToLeader(id, leader.CancellationsKnown{})
}

// awaitsCancellations reports whether this VM or one of its leaders waits for a read.
func (n *Control) awaitsCancellations() bool {
	if n.storedCancellations.loaded == 0 {
		return true
	}
	for _, led := range n.ledShards {
		if led.cancellations != 0 {
			return true
		}
	}
	return false
}

// maintainStoredCancellations writes, reads and removes what is due.
func (n *Control) maintainStoredCancellations() {
	s := &n.storedCancellations
	overdue := n.awaitsCancellations() && n.now >= s.requestedAt+cancelLoadPatience && s.unanswered < maxCancelLoads
	if overdue || s.retryAt != 0 && n.now >= s.retryAt {
		n.loadCancellations()
	}
	for _, id := range n.shards {
		n.releaseStarts(id)
	}
	n.saveCancellations()
	if n.now < s.nextRemovalAt {
		return
	}
	s.nextRemovalAt = n.now + removalInterval
	var due []CancellationRow
	for row, r := range s.rows {
		if n.now >= r.at {
			due = append(due, row)
		}
	}
	slices.Sort(due)
	if due = due[:min(len(due), maxRowsPerRemoval)]; len(due) > 0 {
		n.emit(RemoveCancellations{Rows: due})
	}
}

func (s *storedCancellations) removeLater(row CancellationRow, at clock.Millis) {
	if s.rows == nil {
		s.rows = make(map[CancellationRow]rowRemoval)
	}
	s.rows[row] = rowRemoval{at: at}
}

// handleRemoved forgets rows that have been removed, or whose removal has failed too often: the next VM that reads
// them tries again.
func (s *storedCancellations) handleRemoved(e CancellationsRemoved, now clock.Millis) {
	for _, row := range e.Rows {
		r := s.rows[row]
		r.tries++
		if e.OK || r.tries >= maxRemovals {
			delete(s.rows, row)
			continue
		}
		r.at = now + removalInterval
		s.rows[row] = r
	}
}
