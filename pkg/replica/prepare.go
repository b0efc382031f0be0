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

// preparedCandidate is what this VM found of a candidate, and the sections it keeps so
// that a roll finds them at hand.
type preparedCandidate struct {
	readiness bundle.Readiness
	sections  bundle.Sections
}

// maxPrepared bounds the candidates that a VM keeps, since each may bring sections.
const maxPrepared = 32

// survey checks the candidates that are new, reports, and reads sign-offs back. While the
// platform does not answer it leaves them to the next time; following the head logs the
// outage.
func (r *Replica) survey(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, surveyLimit(r.deps).Duration())
	defer cancel()
	if err := r.prepare(ctx); err != nil {
		return
	}
	_ = r.report(ctx)
	// Last, since nothing waits for the history.
	_ = r.readSignOff(ctx)
}

// surveyLimit leaves time for a list, a candidate and a report at a slow platform.
func surveyLimit(d Deps) clock.Millis {
	return 5 * d.PlatformTimeout
}

// prepare fetches and checks the candidates that are new, and forgets those whose
// version is past.
func (r *Replica) prepare(ctx context.Context) error {
	rows, err := r.deps.Store.Candidates(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	r.forgetCandidates()
	for _, row := range rows {
		if !r.isNew(row) {
			continue
		}
		found, err := r.check(ctx, row)
		if err != nil {
			return errors.Trace(err)
		}
		r.mu.Lock()
		r.prepared[row.ID] = found
		r.mu.Unlock()
	}
	return nil
}

func (r *Replica) isNew(row bundlestore.CandidateRow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, done := r.prepared[row.ID]
	return !done && row.Head.Version > r.current.Version && len(r.prepared) < maxPrepared
}

// forgetCandidates drops what can no longer come into force. A row that is gone is no
// reason: a roll clears it before every VM has followed.
func (r *Replica) forgetCandidates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.prepared {
		if p.readiness.Version <= r.current.Version {
			delete(r.prepared, id)
		}
	}
}

// check fails only while the platform does not answer; then the next survey checks again.
func (r *Replica) check(ctx context.Context, row bundlestore.CandidateRow) (preparedCandidate, error) {
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

// report writes this VM's row when it has something new to say.
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

// DeleteReport removes this VM's report, at graceful shutdown.
func (r *Replica) DeleteReport(ctx context.Context) error {
	return r.deps.Store.DeleteReport(ctx, bundlestore.Report{VM: r.deps.Self})
}
