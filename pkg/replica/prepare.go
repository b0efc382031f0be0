package replica

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// preparedCandidate is the result of checking a candidate, with the sections that this VM
// keeps so that a roll needs no further fetch.
type preparedCandidate struct {
	readiness bundle.Readiness
	sections  bundle.Sections
}

// maxPrepared bounds the candidates that a VM keeps, since each may add sections.
const maxPrepared = 32

// maintain checks new candidates, writes this VM's report and reads an earlier sign-off. It
// ignores failures: the next call tries again, and pollHead logs an outage of the platform.
func (r *Replica) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout(r.deps).Duration())
	defer cancel()
	if err := r.checkCandidates(ctx); err != nil {
		return
	}
	_ = r.report(ctx)
	// The history comes last, since nothing depends on it.
	_ = r.readSignOff(ctx)
}

// maintenanceTimeout allows time to list candidates, check one and write a report at a slow
// platform.
func maintenanceTimeout(d Deps) clock.Millis {
	return 5 * d.PlatformTimeout
}

// checkCandidates fetches and checks new candidates, and drops those whose version is not
// above the one in force.
func (r *Replica) checkCandidates(ctx context.Context) error {
	rows, err := r.deps.Store.Candidates(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	r.dropPastCandidates()
	for _, row := range rows {
		if !r.needsCheck(row) {
			continue
		}
		found, err := r.checkCandidate(ctx, row)
		if err != nil {
			return errors.Trace(err)
		}
		r.mu.Lock()
		r.prepared[row.ID] = found
		r.mu.Unlock()
	}
	return nil
}

func (r *Replica) needsCheck(row bundlestore.CandidateRow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, checked := r.prepared[row.ID]
	return !checked && row.Head.Version > r.sharedInForce.Version && len(r.prepared) < maxPrepared
}

// dropPastCandidates drops candidates that can no longer come into force. It ignores whether
// the row still exists, since a roll deletes the row before every VM has the new version.
func (r *Replica) dropPastCandidates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.prepared {
		if p.readiness.Version <= r.sharedInForce.Version {
			delete(r.prepared, id)
		}
	}
}

// checkCandidate fetches and checks a candidate. It fails only while the platform is
// unavailable; the next call of maintain then checks the candidate again.
func (r *Replica) checkCandidate(ctx context.Context, row bundlestore.CandidateRow) (preparedCandidate, error) {
	found := preparedCandidate{readiness: bundle.Readiness{Candidate: row.ID, Version: row.Head.Version}}
	head, sections, err := r.fetchHead(ctx, bundle.Announcement{Ref: bundle.Ref{Version: row.Head.Version, Digest: row.ID}})
	if errors.Is(err, platform.ErrUnavailable) {
		return found, errors.Trace(err)
	}
	if err == nil {
		_, err = bundle.Assemble(head, sections)
	}
	if err != nil {
		found.readiness.Reason = err.Error()
		return found, nil
	}
	found.readiness.Ready, found.sections = true, sections
	return found, nil
}

// report writes this VM's report to the platform when its status has changed.
func (r *Replica) report(ctx context.Context) error {
	s := r.LocalBundleStatus()
	if r.reported != nil && r.reported.InForce == s.InForce && slices.Equal(r.reported.Prepared, s.Prepared) {
		return nil
	}
	if err := r.deps.Store.WriteReport(ctx, bundlestore.Report{VM: r.deps.Self, Status: s}); err != nil {
		return errors.Trace(err)
	}
	r.reported = &s
	return nil
}

// DeleteReport removes this VM's report during a graceful shutdown.
func (r *Replica) DeleteReport(ctx context.Context) error {
	return r.deps.Store.DeleteReport(ctx, bundlestore.Report{VM: r.deps.Self})
}
