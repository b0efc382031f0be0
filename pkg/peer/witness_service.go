package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// witnessService handles the records of issuers and the queries about them.
type witnessService struct {
	handler Handler
	tracer  *trace.Tracer
}

// Record stores a batch of records.
func (w *witnessService) Record(request RecordRequest, reply *RecordReply) error {
	records, err := decodeRecords(request.Issuer, request.Records)
	if err != nil {
		return errors.Trace(err)
	}
	statuses, err := w.handler.HandleRecords(context.Background(), vm.Incarnation(request.Issuer), contract.BatchNumber(request.Batch), records)
	if err != nil {
		return errors.Trace(err)
	}
	reply.Statuses = make([]int, len(statuses))
	for i, s := range statuses {
		reply.Statuses[i] = int(s)
	}
	return nil
}

// HandOver stores answers that an issuer gave without this witness, after a release or at
// shutdown.
func (w *witnessService) HandOver(request HandOverRequest, reply *RecordReply) error {
	records, err := decodeRecords(request.Issuer, request.Records)
	if err != nil {
		return errors.Trace(err)
	}
	reply.Statuses = []int{}
	return errors.Trace(w.handler.HandleHandOver(context.Background(), vm.Incarnation(request.Issuer), records, request.Last))
}

// Ask returns an answer on behalf of an issuer that is unreachable.
func (w *witnessService) Ask(request AskRequest, reply *WireAnswer) error {
	id, err := contract.ParseSubmissionID(request.ID)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, span := startServedHop(w.tracer, request.TraceParent, id)
	defer span.End()
	q := contract.Query{ID: id, Owner: owner.ID(request.Owner)}
	copy(q.Digest[:], request.Digest)
	*reply = encodeAnswer(w.handler.AnswerAsWitness(ctx, q))
	return nil
}
