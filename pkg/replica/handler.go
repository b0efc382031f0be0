package replica

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// AnnounceHere takes the news of a head for the replica's goroutine. When too many wait,
// it is dropped and the next poll finds the head.
func (r *Replica) AnnounceHere(from vm.VM, ref bundle.Ref) {
	select {
	case r.announced <- announcement{from: from, ref: ref}:
	default:
	}
}

// FetchHere returns what is at hand of the heads and sections asked for.
func (r *Replica) FetchHere(digests []bundle.Digest) bundle.Sections {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(bundle.Sections)
	for _, d := range digests {
		if body, ok := r.cache[d]; ok {
			found[d] = body
		}
	}
	return found
}

// BundleStatusHere returns the version in force and the candidates that were checked.
func (r *Replica) BundleStatusHere() bundle.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// publishStatus replaces the status that peers and operators read.
func (r *Replica) publishStatus() {
	s := bundle.Status{InForce: r.inForce}
	for _, p := range r.prepared {
		s.Prepared = append(s.Prepared, p)
	}
	slices.SortFunc(s.Prepared, func(a, b bundle.Readiness) int { return cmp.Compare(a.Candidate, b.Candidate) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}
