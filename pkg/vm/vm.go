// Package vm describes entry VMs, their incarnations and the roster of them.
package vm

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Size is the relative capacity of an entry VM, for example its core count.
type Size int

// VM is one incarnation of an entry VM.
type VM struct {
	Incarnation Incarnation
	DataCentre  datacentre.ID
	// PeerAddress is where the VM accepts calls from other entry VMs.
	PeerAddress string
	Size        Size
	// Started is when the process started, by its own clock. It orders the incarnations
	// of one VM.
	Started clock.Millis
	// Leaving means that the VM is shutting down.
	Leaving bool
	// Status is the state that the VM that maintains the roster has determined.
	Status Status
	// HasRow means that the platform's table has a row of the incarnation.
	HasRow bool
}
