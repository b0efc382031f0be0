package replica

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// prepare fetches and checks the candidates that are new, so that a roll finds every
// section at hand. Candidates that are gone are forgotten.
func (r *Replica) prepare(ctx context.Context) error {
	rows, err := r.deps.Store.Candidates(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	present := make(map[bundle.Digest]bool)
	for _, row := range rows {
		if row.Head.Version <= r.inForce.Version {
			continue
		}
		present[row.ID] = true
		if _, done := r.prepared[row.ID]; done || len(r.prepared) >= maxPrepared {
			continue
		}
		readiness, err := r.check(ctx, row)
		if err != nil {
			return errors.Trace(err)
		}
		r.prepared[row.ID] = readiness
	}
	for id := range r.prepared {
		if !present[id] {
			delete(r.prepared, id)
		}
	}
	r.publishStatus()
	return nil
}

// maxPrepared bounds the candidates that a VM keeps, since each may bring sections.
const maxPrepared = 32

// check fails only while the platform does not answer; then the next poll checks again.
func (r *Replica) check(ctx context.Context, row bundlestore.CandidateRow) (bundle.Readiness, error) {
	readiness := bundle.Readiness{Candidate: row.ID, Version: row.Head.Version}
	head, sections, err := r.fetchHead(ctx, bundle.Ref{Version: row.Head.Version, Digest: row.ID}, nil)
	if errors.Is(err, platform.ErrUnavailable) {
		return readiness, errors.Trace(err)
	}
	if err == nil {
		_, err = bundle.Assemble(head, sections)
	}
	if err != nil {
		readiness.Reason = err.Error()
		return readiness, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, body := range sections {
		r.cache[d] = body
	}
	readiness.Ready = true
	return readiness, nil
}

// report writes this VM's row when it has something new to say.
func (r *Replica) report(ctx context.Context) error {
	s := r.BundleStatusHere()
	if r.reported != nil && r.reported.InForce == s.InForce && slices.Equal(r.reported.Prepared, s.Prepared) {
		return nil
	}
	if err := r.deps.Store.WriteReport(ctx, bundlestore.Report{VM: r.deps.Self, Status: s}); err != nil {
		return errors.Trace(err)
	}
	r.reported = &s
	return nil
}

// Withdraw removes this VM's report, at graceful shutdown.
func (r *Replica) Withdraw(ctx context.Context) error {
	return r.deps.Store.DeleteReport(ctx, bundlestore.Report{VM: r.deps.Self})
}
