package replica

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
)

// HandleAnnouncement queues the announcement of a head for the replica's goroutine. When
// the queue is full, it drops the announcement and the next poll finds the head.
func (r *Replica) HandleAnnouncement(a bundle.Announcement) {
	select {
	case r.announcements <- a:
	default:
	}
}

// FetchLocal returns the requested heads and sections that are available locally.
func (r *Replica) FetchLocal(digests []bundle.Digest) bundle.Sections {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(bundle.Sections)
	for _, d := range digests {
		if body, ok := r.localBody(d); ok {
			found[d] = body
		}
	}
	return found
}

// localBody returns the bytes of a head or section of the bundle in force, or of a section of
// a checked candidate.
func (r *Replica) localBody(d bundle.Digest) ([]byte, bool) {
	if body, ok := r.localBodies[d]; ok {
		return body, true
	}
	for _, p := range r.prepared {
		if body, ok := p.sections[d]; ok {
			return body, true
		}
	}
	return nil, false
}

// LocalBundleStatus returns the version in force and the checked candidates of later versions.
func (r *Replica) LocalBundleStatus() bundle.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := bundle.Status{InForce: r.sharedInForce}
	for _, p := range r.prepared {
		if p.readiness.Version > r.sharedInForce.Version {
			s.Prepared = append(s.Prepared, p.readiness)
		}
	}
	slices.SortFunc(s.Prepared, func(a, b bundle.Readiness) int { return cmp.Compare(a.Candidate, b.Candidate) })
	return s
}
