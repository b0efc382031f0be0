package operator

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Peers calls entry VMs about bundles.
type Peers interface {
	Announce(ctx context.Context, to, from vm.VM, r bundle.Ref) error
	BundleStatus(ctx context.Context, of vm.VM) (bundle.Status, error)
}

// Fleet is the entry VMs as an operator sees them: those that have ever reported.
type Fleet struct {
	Store   *bundlestore.Store
	Peers   Peers
	Timeout clock.Millis
}

// VMStatus is what is known of one VM.
type VMStatus struct {
	VM vm.VM
	// Status is the VM's own answer, or its last report where it is out of reach.
	Status    bundle.Status
	Reachable bool
	Reason    string
}

// FleetStatus is the head in force and what each VM has of it.
type FleetStatus struct {
	// Head has version 0 before the first roll.
	Head       bundlestore.HeadRow
	Candidates []bundlestore.CandidateRow
	VMs        []VMStatus
}

// callsAtOnce bounds the calls to VMs that are under way.
const callsAtOnce = 32

// Status asks all VMs.
func (f *Fleet) Status(ctx context.Context) (FleetStatus, error) {
	var s FleetStatus
	var err error
	if s.Head, _, err = f.Store.HeadRow(ctx); err != nil && !errors.Is(err, platform.ErrAbsent) {
		return s, errors.Trace(err)
	}
	if s.Candidates, err = f.Store.Candidates(ctx); err != nil {
		return s, errors.Trace(err)
	}
	reports, err := f.Store.Reports(ctx)
	if err != nil {
		return s, errors.Trace(err)
	}
	s.VMs = make([]VMStatus, len(reports))
	f.each(ctx, reports, func(ctx context.Context, i int, r bundlestore.Report) {
		s.VMs[i] = VMStatus{VM: r.VM, Status: r.Status}
		status, err := f.Peers.BundleStatus(ctx, r.VM)
		if err != nil {
			s.VMs[i].Reason = err.Error()
			return
		}
		s.VMs[i].Status, s.VMs[i].Reachable = status, true
	})
	return s, nil
}

// Announce tells all VMs of a head that was rolled. It returns the number of VMs told;
// the others find the head by their polls.
func (f *Fleet) Announce(ctx context.Context, r bundle.Ref) (told, all int, err error) {
	reports, err := f.Store.Reports(ctx)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	heard := make([]bool, len(reports))
	f.each(ctx, reports, func(ctx context.Context, i int, to bundlestore.Report) {
		heard[i] = f.Peers.Announce(ctx, to.VM, vm.VM{}, r) == nil
	})
	for _, h := range heard {
		if h {
			told++
		}
	}
	return told, len(reports), nil
}

func (f *Fleet) each(ctx context.Context, reports []bundlestore.Report, call func(context.Context, int, bundlestore.Report)) {
	var wg sync.WaitGroup
	free := make(chan struct{}, callsAtOnce)
	for i, r := range reports {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(ctx, f.Timeout.Duration())
			defer cancel()
			call(ctx, i, r)
		})
	}
	wg.Wait()
}
