// Package evacuation describes the evacuations of data centres that the platform's operator requests, and
// what a VM knows of them.
package evacuation

import (
	"maps"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Revision orders requests and states. All revisions come from one increasing counter of the platform's
// store.
type Revision int64

// State is the set of data centres that are to be empty, as of a version of the store. It is immutable.
type State struct {
	Version Revision
	// Since has the revision of the operator's request for each of them.
	Since map[datacentre.ID]Revision
}

// Covers reports whether a data centre is to be empty.
func (s *State) Covers(dc datacentre.ID) bool {
	_, ok := s.Since[dc]
	return ok
}

func (s *State) equal(o *State) bool { return maps.Equal(s.Since, o.Since) }
