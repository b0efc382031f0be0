package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
)

// contractService handles calls that peers forward to this VM as the issuer.
type contractService struct {
	handler Handler
	tracer  *trace.Tracer
}

// Submit handles a forwarded submission and returns its answer.
func (c *contractService) Submit(request SubmitRequest, reply *WireAnswer) error {
	s, err := decodeSubmission(request.Submission)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, span := startServedHop(c.tracer, request.Submission.TraceParent, s.ID)
	defer span.End()
	s.Trace = trace.ParentOf(ctx)
	*reply = encodeAnswer(c.handler.SubmitLocal(ctx, s, clampWait(request.WaitMs)))
	return nil
}

// Ask returns the answer of a submission.
func (c *contractService) Ask(request AskRequest, reply *WireAnswer) error {
	id, err := contract.ParseSubmissionID(request.ID)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, span := startServedHop(c.tracer, request.TraceParent, id)
	defer span.End()
	*reply = encodeAnswer(c.handler.AskLocal(ctx, id, owner.ID(request.Owner), clampWait(request.WaitMs)))
	return nil
}

// Cancel cancels a submission on behalf of a peer's caller.
func (c *contractService) Cancel(request AskRequest, reply *WireAnswer) error {
	id, err := contract.ParseSubmissionID(request.ID)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, span := startServedHop(c.tracer, request.TraceParent, id)
	defer span.End()
	*reply = encodeAnswer(c.handler.CancelLocal(ctx, id, owner.ID(request.Owner)))
	return nil
}

// startServedHop starts the span of the served hop within the trace of the peer hop.
func startServedHop(t *trace.Tracer, parent string, id contract.SubmissionID) (context.Context, trace.Span) {
	return t.Start(trace.WithParent(context.Background(), contract.TraceParent(parent)), trace.ServedHop, id)
}

// maxWait bounds how long a call of a peer may occupy a goroutine of this VM.
const maxWait = 10 * clock.Minute

func clampWait(ms int64) clock.Millis {
	return max(0, min(clock.Millis(ms), maxWait))
}
