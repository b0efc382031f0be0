package demo

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/settings"
)

// VM is an entry VM in this process.
type VM interface {
	// Run serves until the context ends, then shuts down gracefully.
	Run(ctx context.Context) error
	// Kill stops the VM immediately, without notifying its peers.
	Kill()
	CallerAddress() string
}

// VMFactory creates an entry VM, which has to be run, from its settings.
type VMFactory func(settings.Settings) (VM, error)
