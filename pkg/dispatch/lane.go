package dispatch

import (
	"math/bits"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// lane holds an owner's waiting jobs of one of three sorts: short work, long work, and
// kinds without a known run time. Separate lanes prevent head-of-line blocking.
type lane struct {
	account *account
	index   laneIndex
	classes [rankCount]classQueue
	// nonEmpty has a bit set for each class with waiting jobs.
	nonEmpty uint8
	urgent   urgentLane
	pos      int
}

func (l *lane) before(o *lane) bool {
	if l.account.virtual != o.account.virtual {
		return l.account.virtual < o.account.virtual
	}
	return l.account.sequence < o.account.sequence
}

// precedes compares lanes of different sorts. Between lanes of one owner, the more urgent
// class goes first, and with equal classes the one of shorter work.
func (l *lane) precedes(o *lane) bool {
	if l.account == o.account {
		return l.mostUrgent() < o.mostUrgent()
	}
	return l.before(o)
}

func (l *lane) position() *int {
	return &l.pos
}

func (l *lane) mostUrgent() int {
	return bits.TrailingZeros8(l.nonEmpty)
}

// add queues a job and reports whether the lane was empty before.
func (l *lane) add(now clock.Millis, j *queuedJob) bool {
	c := &l.classes[j.rank]
	if c.jobs.empty() {
		c.skipped, c.lastStartAt = 0, now
	}
	c.jobs.push(j)
	wasEmpty := l.nonEmpty == 0
	l.nonEmpty |= 1 << j.rank
	return wasEmpty
}

// remove takes a job out of the queue and reports whether the lane is empty now.
func (l *lane) remove(j *queuedJob) bool {
	c := &l.classes[j.rank]
	c.jobs.remove(j)
	if c.jobs.empty() {
		l.nonEmpty &^= 1 << j.rank
	}
	return l.nonEmpty == 0
}

// nextClass returns the class to start from: an overdue one if there is one, otherwise the
// most urgent.
func (l *lane) nextClass(now clock.Millis) int {
	first := l.mostUrgent()
	for rest := l.nonEmpty &^ (1 << first); rest != 0; rest &= rest - 1 {
		r := bits.TrailingZeros8(rest)
		if l.classes[r].overdue(now) {
			return r
		}
	}
	return first
}

// recordStart records a start of the class of rank r.
func (l *lane) recordStart(now clock.Millis, r int) {
	for rest := l.nonEmpty &^ (1 << r) &^ (1<<r - 1); rest != 0; rest &= rest - 1 {
		l.classes[bits.TrailingZeros8(rest)].skipped++
	}
	l.classes[r].skipped, l.classes[r].lastStartAt = 0, now
}
