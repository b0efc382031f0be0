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
	Announce(ctx context.Context, to vm.VM, a bundle.Announcement) error
	BundleStatus(ctx context.Context, of vm.VM) (bundle.Status, error)
}

// Fleet gives an operator access to the entry VMs that have a report at the platform.
type Fleet struct {
	Store *bundlestore.Store
	Peers Peers
	// Timeout bounds a call to a VM.
	Timeout clock.Millis
}

// VMStatus is the bundle status of one VM.
type VMStatus struct {
	VM vm.VM
	// Status is the VM's answer, or its last report if it is unreachable.
	Status    bundle.Status
	Reachable bool
	// Reason is why the VM is unreachable.
	Reason string
}

// FleetStatus is the head in force, the candidates and the status of each VM.
type FleetStatus struct {
	// Head has version 0 before the first roll.
	Head       bundlestore.HeadRow
	Candidates []bundlestore.CandidateRow
	VMs        []VMStatus
}

// maxConcurrentCalls bounds the concurrent calls to VMs.
const maxConcurrentCalls = 32

// Status reads the rows at the platform and queries all VMs.
func (f *Fleet) Status(ctx context.Context) (FleetStatus, error) {
	var s FleetStatus
	var err error
	if s.Head, _, err = f.Store.HeadRow(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
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
	f.forEachVM(ctx, reports, func(ctx context.Context, i int, r bundlestore.Report) {
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

// Announce announces a head that was rolled to the VMs and returns the number of VMs that
// received it. The others find the head by polling.
func (f *Fleet) Announce(ctx context.Context, reports []bundlestore.Report, a bundle.Announcement) (received int) {
	delivered := make([]bool, len(reports))
	f.forEachVM(ctx, reports, func(ctx context.Context, i int, to bundlestore.Report) {
		delivered[i] = f.Peers.Announce(ctx, to.VM, a) == nil
	})
	for _, ok := range delivered {
		if ok {
			received++
		}
	}
	return received
}

// forEachVM makes a call for each report concurrently, with the time-out, and waits for all.
func (f *Fleet) forEachVM(ctx context.Context, reports []bundlestore.Report, call func(context.Context, int, bundlestore.Report)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i, r := range reports {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, f.Timeout.Duration())
			defer cancel()
			call(ctx, i, r)
		})
	}
	wg.Wait()
}
