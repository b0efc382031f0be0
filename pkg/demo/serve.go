package demo

import (
	"context"
	"fmt"

	"github.com/juju/errors"
)

// Serve starts the VMs and endpoints of a workload, prints the VMs' addresses and the
// authorization header, and serves until the context ends.
func (d *Demo) Serve(ctx context.Context, w Workload) error {
	s, err := newSite(ctx, w, d.deps.NewVM)
	if err != nil {
		return errors.Annotatef(err, "start workload %s", w.Name)
	}
	defer s.close()
	if err := waitReady(ctx, s.callerAddresses()); err != nil {
		return errors.Trace(err)
	}
	for _, r := range s.vms {
		_, _ = fmt.Fprintf(d.deps.Out, "VM=http://%s\n", r.vm.CallerAddress())
	}
	_, _ = fmt.Fprintf(d.deps.Out, "AUTH=\"Authorization: Bearer %s\"\n", demoToken)
	d.progress("%s serves until it is interrupted", w.Name)
	<-ctx.Done()
	return nil
}
