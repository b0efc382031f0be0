package daemon

import (
	"sync"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// maxLoggedChanges bounds the changes that a changeLog keeps. Endpoints come and go a few times a second.
const maxLoggedChanges = 2048

// changeLog keeps the latest changes of the list of endpoints, so that other VMs can follow the list
// through this one. It leaves out rows that differ only in what no VM uses. It is safe for concurrent
// use.
type changeLog struct {
	clock clock.Clock

	mu   sync.Mutex
	rows []store.Row
	// from is the version after which the log has all changes, and version that of the latest read,
	// whose request was sent at sentAt, or 0 if more changes may have been pending by then.
	from, version store.Revision
	sentAt        clock.Millis
}

// record adds a read of the list with the rows that it has changed, in the order of their revisions.
func (c *changeLog) record(t tableRead, changed []store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.whole {
		c.rows, c.from = nil, t.version
		for _, r := range t.rows {
			// A page that was read later may have changes after the version.
			c.from = max(c.from, r.Revision)
		}
	} else {
		c.rows = append(c.rows, changed...)
	}
	if surplus := len(c.rows) - maxLoggedChanges; surplus > 0 {
		c.from = c.rows[surplus-1].Revision
		c.rows = append([]store.Row(nil), c.rows[surplus:]...)
	}
	c.version, c.sentAt = t.version, t.sentAt
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
	return s, c.clock.Now() - c.sentAt, true
}
