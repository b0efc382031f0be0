package demo

import (
	"context"
	"fmt"

	"github.com/juju/errors"
)

// Serve starts the VMs and endpoints of a workload, prints the VMs' addresses and the
// authorization header, and serves until the context ends.
func (d *Demo) Serve(ctx context.Context, w Workload) error {
	c, err := newCluster(ctx, w, d.deps.NewVM)
	if err != nil {
		return errors.Annotatef(err, "start workload %s", w.Name)
	}
	defer c.close()
	if err := waitReady(ctx, c.callerAddresses()); err != nil {
		return errors.Trace(err)
	}
	for _, running := range c.vms {
		_, _ = fmt.Fprintf(d.deps.Out, "VM=http://%s\n", running.vm.CallerAddress())
	}
	_, _ = fmt.Fprintf(d.deps.Out, "AUTH=\"Authorization: Bearer %s\"\n", demoToken)
	d.progress("%s serves until it is interrupted", w.Name)
	<-ctx.Done()
	return nil
}
