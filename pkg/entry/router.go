package entry

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Peers forwards calls to the VMs that may answer for an id.
type Peers interface {
	Submit(ctx context.Context, issuer vm.VM, s contract.Submission, wait clock.Millis) (contract.Answer, error)
	Ask(ctx context.Context, issuer vm.VM, id contract.SubmissionID, o owner.ID, wait clock.Millis) (contract.Answer, error)
	Cancel(ctx context.Context, issuer vm.VM, id contract.SubmissionID, o owner.ID) (contract.Answer, error)
	AskWitness(ctx context.Context, witness vm.VM, q contract.Query) (contract.Answer, error)
}

// RouterConfig configures a router.
type RouterConfig struct {
	Self  vm.Incarnation
	Loop  *Loop
	Peers Peers
	// PeerTimeout limits a call to a peer, in addition to the time the caller waits.
	PeerTimeout clock.Millis
}

// Router finds the VM that may answer for an id: this one, the issuer or the witness.
type Router struct {
	config   RouterConfig
	peers    atomic.Pointer[PeerSnapshot]
	draining atomic.Bool
}

// NewRouter returns a router without peers.
func NewRouter(c RouterConfig) *Router {
	r := &Router{config: c}
	r.SetPeers(PeerSnapshot{Roster: vm.NewRoster(vm.RosterConfig{Self: c.Self})})
	return r
}

// SetPeers publishes a new roster and the state of the links to the traffic goroutines.
func (r *Router) SetPeers(s PeerSnapshot) {
	r.peers.Store(&s)
}

// Ready reports whether the load balancer may send callers to this VM.
func (r *Router) Ready() bool {
	return !r.draining.Load()
}

// Drain makes the VM not ready, stops accepting submissions and returns when the running ones
// have ended and the witnesses have the answers. It fails when the context ends first.
func (r *Router) Drain(ctx context.Context) error {
	r.draining.Store(true)
	reply, err := r.config.Loop.CallBlocking(ctx, func(w WaiterID) Event { return ShutdownBegun{Waiter: w} })
	if err != nil {
		return errors.Annotate(err, "drain this VM")
	}
	if !reply.(ShutdownReply).Drained {
		return errors.Annotate(ctx.Err(), "drain this VM: submissions still run or a witness does not answer")
	}
	return nil
}

// Roster returns the roster in use.
func (r *Router) Roster() *vm.Roster {
	return r.peers.Load().Roster
}

// Reserve returns new ids issued by this VM.
func (r *Router) Reserve(ctx context.Context, o owner.ID, count int) ([]contract.SubmissionID, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event { return ReserveIDs{Waiter: w, Owner: o, Count: count} })
	if err != nil {
		return nil, errors.Annotate(err, "reserve ids")
	}
	return reply.(ReservedIDs).IDs, nil
}

// Submit runs a submission at its issuer and waits up to the given time for its end.
func (r *Router) Submit(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer {
	if s.ID.Issuer == r.config.Self {
		return r.orWitness(ctx, witnessQuery{id: s.ID, owner: s.Owner, submission: &s}, r.SubmitLocal(ctx, s, wait))
	}
	return r.forward(ctx, witnessQuery{id: s.ID, owner: s.Owner, submission: &s}, wait, func(ctx context.Context, issuer vm.VM) (contract.Answer, error) {
		return r.config.Peers.Submit(ctx, issuer, s, wait)
	})
}

// SubmitLocal runs a submission that this VM issued.
func (r *Router) SubmitLocal(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer {
	a, err := r.callWithin(ctx, wait, func(w WaiterID) Event {
		return Submitted{Waiter: w, Submission: s, Wait: wait > 0}
	})
	if err != nil {
		// Not a refusal, since an earlier copy of the submission may be running.
		return contract.CannotTellYet{Reason: err.Error(), RetryAfter: retryDelay}
	}
	return a
}

// Ask returns the answer to an id and waits up to the given time for it.
func (r *Router) Ask(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer {
	if id.Issuer == r.config.Self {
		return r.orWitness(ctx, witnessQuery{id: id, owner: o}, r.AskLocal(ctx, id, o, wait))
	}
	return r.forward(ctx, witnessQuery{id: id, owner: o}, wait, func(ctx context.Context, issuer vm.VM) (contract.Answer, error) {
		return r.config.Peers.Ask(ctx, issuer, id, o, wait)
	})
}

// AskLocal returns the answer to an id that this VM issued.
func (r *Router) AskLocal(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer {
	a, err := r.callWithin(ctx, wait, func(w WaiterID) Event {
		return AnswerRequested{Waiter: w, ID: id, Owner: o, Wait: wait > 0}
	})
	if err != nil {
		return contract.CannotTellYet{Reason: err.Error(), RetryAfter: retryDelay}
	}
	return a
}

// Cancel drops the tasks of an id that have not started.
func (r *Router) Cancel(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer {
	if id.Issuer == r.config.Self {
		return r.orWitness(ctx, witnessQuery{id: id, owner: o}, r.CancelLocal(ctx, id, o))
	}
	return r.forward(ctx, witnessQuery{id: id, owner: o}, 0, func(ctx context.Context, issuer vm.VM) (contract.Answer, error) {
		return r.config.Peers.Cancel(ctx, issuer, id, o)
	})
}

// CancelLocal drops the tasks of an id that this VM issued.
func (r *Router) CancelLocal(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer {
	a, err := r.callWithin(ctx, 0, func(w WaiterID) Event { return Cancelled{Waiter: w, ID: id, Owner: o} })
	if err != nil {
		return contract.CannotTellYet{Reason: err.Error(), RetryAfter: retryDelay}
	}
	return a
}

// AnswerAsWitness answers for an id as its witness.
func (r *Router) AnswerAsWitness(ctx context.Context, q contract.Query) contract.Answer {
	a, err := r.callWithin(ctx, 0, func(w WaiterID) Event {
		return WitnessAnswerRequested{Waiter: w, ID: q.ID, Owner: q.Owner, Digest: q.Digest}
	})
	if err != nil {
		return contract.CannotTellYet{Reason: err.Error(), RetryAfter: retryDelay}
	}
	return a
}

// HandleRecords stores records as the witness of a peer.
func (r *Router) HandleRecords(ctx context.Context, issuer vm.Incarnation, batch contract.BatchNumber, records []contract.Record) ([]contract.RecordStatus, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event {
		return RecordsReceived{Waiter: w, Issuer: issuer, Batch: batch, Records: records}
	})
	if err != nil {
		return nil, errors.Annotatef(err, "keep records of %s", issuer)
	}
	return reply.(RecordsReply).Statuses, nil
}

// HandleHeartbeat handles a heartbeat of a peer.
func (r *Router) HandleHeartbeat(ctx context.Context, h Heartbeat) (vm.Incarnation, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event { return HeartbeatReceived{Waiter: w, Heartbeat: h} })
	if err != nil {
		return vm.None, errors.Annotatef(err, "handle heartbeat of %s", h.From.Incarnation)
	}
	return reply.(HeartbeatReply).Incarnation, nil
}

// Usage returns the current accounting report of the data centre.
func (r *Router) Usage(ctx context.Context) (accounting.Report, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event { return UsageRequested{Waiter: w} })
	if err != nil {
		return accounting.Report{}, errors.Annotate(err, "read usage")
	}
	return reply.(UsageReply).Report, nil
}

// HandleLoanRequest handles a peer's request for slots.
func (r *Router) HandleLoanRequest(ctx context.Context, request loan.Request) (loan.Grant, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event { return LoanRequested{Waiter: w, Request: request} })
	if err != nil {
		return loan.Grant{}, errors.Annotatef(err, "lend slots to %s", request.ID.Borrower)
	}
	return reply.(LoansGranted).Grant, nil
}

// HandleLoanReturns handles the return of slots by a peer.
func (r *Router) HandleLoanReturns(ctx context.Context, borrower vm.Incarnation, returns []loan.Return) error {
	_, err := r.config.Loop.Call(ctx, func(w WaiterID) Event {
		return LoansReturned{Waiter: w, Borrower: borrower, Returns: returns}
	})
	return errors.Annotatef(err, "take back slots of %s", borrower)
}

// HandleHandOver stores answers that an issuer hands over outside of its regular batches.
func (r *Router) HandleHandOver(ctx context.Context, issuer vm.Incarnation, records []contract.Record, last bool) error {
	_, err := r.config.Loop.Call(ctx, func(w WaiterID) Event {
		return HandOverReceived{Waiter: w, Issuer: issuer, Records: records, Last: last}
	})
	return errors.Annotatef(err, "keep answers of %s", issuer)
}

// OfferBundle passes a verified bundle to the control goroutine, which decides whether it
// follows the one in force.
func (r *Router) OfferBundle(ctx context.Context, c bundle.Candidate) (bundle.Verdict, error) {
	reply, err := r.config.Loop.Call(ctx, func(w WaiterID) Event { return BundleOffered{Waiter: w, Candidate: c} })
	if err != nil {
		return nil, errors.Annotatef(err, "offer bundle version %d", c.Head.Version)
	}
	return reply.(BundleVerdict).Verdict, nil
}

// RecordSignOffs passes sign-offs that were read back from the platform to the control goroutine.
func (r *Router) RecordSignOffs(ctx context.Context, signed []bundle.SignedVersion) error {
	r.config.Loop.Post(ctx, SignOffsRead{Signed: signed})
	return ctx.Err()
}

// callWithin sends an event to the control goroutine and waits up to the given time for the
// final answer.
func (r *Router) callWithin(ctx context.Context, wait clock.Millis, makeEvent func(WaiterID) Event) (contract.Answer, error) {
	if wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait.Duration())
		defer cancel()
	}
	reply, err := r.config.Loop.Call(ctx, makeEvent)
	if err != nil {
		return nil, err
	}
	return reply.(AnswerReply).Answer, nil
}

// witnessQuery holds the parameters of a query to the witness. The digest is computed only if
// the query is sent.
type witnessQuery struct {
	id         contract.SubmissionID
	owner      owner.ID
	submission *contract.Submission
}

func (q witnessQuery) forWitness() contract.Query {
	query := contract.Query{ID: q.id, Owner: q.owner}
	if q.submission != nil {
		query.Digest = q.submission.Digest()
	}
	return query
}

type peerCall func(ctx context.Context, issuer vm.VM) (contract.Answer, error)

// forward calls the issuer and, if it cannot be reached or has no definite answer, the
// witness. If neither can be reached, this VM answers. A VM whose link is marked unreachable
// is not called, so that the caller does not wait for the time-out.
func (r *Router) forward(ctx context.Context, q witnessQuery, wait clock.Millis, call peerCall) contract.Answer {
	if issuer, ok := r.peers.Load().reachable(q.id.Issuer); ok {
		a, err := r.callPeer(ctx, issuer, wait, call)
		if err == nil {
			return r.orWitness(ctx, q, a)
		}
	}
	if a, ok := r.askWitness(ctx, q); ok {
		return a
	}
	a, err := r.callWithin(ctx, 0, func(w WaiterID) Event { return OrphanAnswerRequested{Waiter: w, ID: q.id} })
	if err != nil {
		return contract.CannotTellYet{Reason: err.Error(), RetryAfter: retryDelay}
	}
	return a
}

// orWitness returns the issuer's answer, or the witness's if the issuer's is not definite and
// the witness can be reached.
func (r *Router) orWitness(ctx context.Context, q witnessQuery, a contract.Answer) contract.Answer {
	if _, undecided := a.(contract.CannotTellYet); !undecided {
		return a
	}
	if fromWitness, ok := r.askWitness(ctx, q); ok {
		return fromWitness
	}
	return a
}

func (r *Router) askWitness(ctx context.Context, q witnessQuery) (contract.Answer, bool) {
	if q.id.Witness == r.config.Self {
		return r.AnswerAsWitness(ctx, q.forWitness()), true
	}
	witness, ok := r.peers.Load().reachable(q.id.Witness)
	if !ok {
		return nil, false
	}
	a, err := r.callPeer(ctx, witness, 0, func(ctx context.Context, witness vm.VM) (contract.Answer, error) {
		return r.config.Peers.AskWitness(ctx, witness, q.forWitness())
	})
	return a, err == nil
}

func (r *Router) callPeer(ctx context.Context, to vm.VM, wait clock.Millis, call peerCall) (contract.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + r.config.PeerTimeout).Duration())
	defer cancel()
	return call(ctx, to)
}
