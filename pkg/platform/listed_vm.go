package platform

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// VMState is what the platform's list says of a VM.
type VMState int

// The states.
const (
	Active VMState = iota
	Leaving
)

// ListedVM is an endpoint VM in the platform's lagging list.
type ListedVM struct {
	Endpoint datacentre.Endpoint
	State    VMState
}

// VMList is the platform's lagging list of endpoint VMs. Entry VMs have rows in the
// table service instead.
type VMList interface {
	// ListVMs returns the endpoint VMs of one data centre. The list of all of them would
	// be 1.9 MB at 14,000 endpoints, for each poll of each VM.
	ListVMs(ctx context.Context, dc datacentre.ID) ([]ListedVM, error)
}
