package demo

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/settings"
)

// VM is an entry VM in this process.
type VM interface {
	// Run serves until the context ends and shuts down gracefully.
	Run(ctx context.Context) error
	// Kill ends the VM at once, without telling its peers.
	Kill()
	CallerAddress() string
}

// VMFactory makes entry VMs.
type VMFactory func(settings.Settings) (VM, error)
