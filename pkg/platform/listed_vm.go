package platform

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// VMState is the state of a VM in the platform's list.
type VMState int

// States of a VM.
const (
	Active VMState = iota
	Leaving
)

// ListedVM is an endpoint VM in the platform's list.
type ListedVM struct {
	Endpoint datacentre.Endpoint
	State    VMState
}

// VMList is the platform's list of endpoint VMs, which lags behind their actual state. Entry
// VMs have rows in the table service instead.
type VMList interface {
	// ListVMs returns the endpoint VMs of one data centre. The list of all data centres
	// would be 1.9 MB at 14,000 endpoints, for each poll of each VM.
	ListVMs(ctx context.Context, dc datacentre.ID) ([]ListedVM, error)
}
