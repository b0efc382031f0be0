package daemon

import (
	"slices"
	"sync"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// maxLoggedChanges bounds the changes that a changeLog keeps. Endpoints come and go a few times a second.
	maxLoggedChanges = 2048
	// maxLoggedReads bounds the reads. A VM makes ten a second at most.
	maxLoggedReads = 512
	// renewalRetention is how long the renewals of a read are kept. Other VMs ask every 1.5 s or more often.
	renewalRetention = 3 * clock.Second
)

// changeLog keeps the latest changes of the list of endpoints, so that other VMs can follow the list
// through this one. It leaves out rows that differ only in what no VM uses. It is safe for concurrent
// use.
type changeLog struct {
	clock clock.Clock

	mu   sync.Mutex
	rows []store.Row
	// reads are the latest reads, without the first, in the order of their versions.
	reads []loggedRead
	// from is the version after which the log has all changes, and version that of the latest read,
	// whose request was sent at sentAt, or 0 if more changes may have been pending by then.
	from, version store.Revision
	sentAt        clock.Millis
}

// loggedRead is a read of the changes from the version base to another one. A row that has changed more than once
// in between may be in it once, so that a VM whose list is of a version in between needs its renewals too.
type loggedRead struct {
	base, version store.Revision
	at            clock.Millis
	// renewals are the rows that are as they were at base in all that matters. hasRenewals means that they are
	// known and have been kept.
	renewals    []store.Row
	hasRenewals bool
}

// spans reports whether a version is neither that at which the read began nor that at which it ended.
func (r *loggedRead) spans(v store.Revision) bool { return r.base < v && v < r.version }

// record adds a read of the list with the rows that it has changed and those that it has only renewed, in the
// order of their revisions.
func (c *changeLog) record(t tableRead, changed, renewed []store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.whole {
		c.rows, c.reads, c.from = nil, nil, t.version
		for _, r := range t.rows {
			// A page that was read later may have changes after the version.
			c.from = max(c.from, r.Revision)
		}
	} else {
		c.rows = append(c.rows, changed...)
		// Another VM passes on the rows alone that have changed for this one.
		c.addRead(loggedRead{base: c.version, version: t.version, at: c.clock.Now(), renewals: renewed, hasRenewals: !t.relayed})
	}
	if surplus := len(c.rows) - maxLoggedChanges; surplus > 0 {
		c.from = c.rows[surplus-1].Revision
		c.rows = append([]store.Row(nil), c.rows[surplus:]...)
	}
	c.version, c.sentAt = t.version, t.sentAt
}

func (c *changeLog) addRead(r loggedRead) {
	if r.base == r.version {
		return
	}
	c.reads = append(c.reads, r)
	if surplus := len(c.reads) - maxLoggedReads; surplus > 0 {
		c.from = max(c.from, c.reads[surplus-1].version)
		c.reads = slices.Clone(c.reads[surplus:])
	}
	for i := range c.reads {
		if o := &c.reads[i]; o.hasRenewals && o.at < r.at-renewalRetention {
			o.renewals, o.hasRenewals = nil, false
		}
	}
}

// Since implements peer.Changes.
func (c *changeLog) Since(after store.Revision) (s store.Snapshot, age clock.Millis, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == 0 || after < c.from || c.sentAt == 0 {
		return store.Snapshot{}, 0, false
	}
	// The other VM may have read the list from the store later than this one.
	s.Version = max(c.version, after)
	for _, r := range c.rows {
		if r.Revision > after {
			s.Rows = append(s.Rows, r)
		}
	}
	if i := slices.IndexFunc(c.reads, func(r loggedRead) bool { return r.spans(after) }); i >= 0 {
		if !c.reads[i].hasRenewals {
			return store.Snapshot{}, 0, false
		}
		for _, r := range c.reads[i].renewals {
			if r.Revision > after {
				s.Rows = append(s.Rows, r)
			}
		}
		slices.SortStableFunc(s.Rows, func(a, b store.Row) int { return int(a.Revision - b.Revision) })
	}
	return s, c.clock.Now() - c.sentAt, true
}
