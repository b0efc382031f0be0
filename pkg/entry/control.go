// Package entry is the entry VM's daemon at work: the state machine that makes every
// decision, the goroutine that runs it, and the traffic that serves it.
package entry

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// ControlConfig holds what a control state machine is made of.
type ControlConfig struct {
	DataCentre datacentre.ID
	Self       vm.Incarnation
	// VM describes this VM to its peers; by default a VM of size 1 without an address.
	VM vm.VM
	// Now is the time at which the control state begins.
	Now      clock.Millis
	Key      []byte
	Dispatch dispatch.Config
	// AttemptTimeout bounds one send to an endpoint.
	AttemptTimeout clock.Millis
	// Limits bound the ledger and the witness's records, each on its own.
	Limits contract.Limits
}

// Control holds all control state of an entry VM. Handle is its only entry point and
// does no I/O; one goroutine calls it.
type Control struct {
	config    ControlConfig
	mint      *contract.IDGenerator
	ledger    *contract.Ledger
	witness   *contract.Witness
	scheduler *dispatch.Scheduler
	roster    *vm.Roster
	bundles   bundle.Holder
	owners    map[owner.ID]owner.Owner
	endpoints map[datacentre.EndpointID]datacentre.Endpoint
	outboxes  map[vm.Incarnation]*outbox
	// witnesses are the keys of outboxes in order.
	witnesses []vm.Incarnation
	// witnessForIDs is the witness of the ids reserved now.
	witnessForIDs vm.Incarnation
	// fences are the issuers whose pair row this VM, as the witness, is writing.
	fences      map[vm.Incarnation]*backoff
	retryFences []vm.Incarnation
	// lastSeen tells when VMs that are out of the roster left it or made contact.
	lastSeen  map[vm.Incarnation]clock.Millis
	forgetAt  clock.Millis
	startedAt clock.Millis
	started   bool
	retries   retryBudget
	// running are the attempts whose end has not been reported.
	running map[dispatch.Start]contract.AttemptID
	// strayAnswers counts ends of attempts that are not running: copies, and answers
	// under a wrong id.
	strayAnswers int
	draining     bool
	drainWaiters []WaiterID
	waiters      *waiting
	rng          *rand.Rand
	actions      []Action

	neighbours  *neighbours
	drains      *datacentre.Drains
	lending     *lending
	ceilings    *datacentre.SlotLimits
	accounts    *accounting.Ledger
	usageTurns  map[vm.Incarnation]usageTurn
	dataCentres *accounting.DataCentres
	// report is the open accounting as last put together; a new one is due at reportAfter.
	report          accounting.Report
	reportAfter     clock.Millis
	dataCentreTurns map[vm.Incarnation]usageTurn
	// granted are the slots that the scheduler was last given.
	granted map[datacentre.EndpointID]datacentre.Slots
	// homes tells of which endpoints this VM is the home by the roster in force.
	homes map[datacentre.EndpointID]bool
}

// NewControl returns a control state machine without bundle, roster or endpoints.
func NewControl(c ControlConfig) *Control {
	if c.VM.Incarnation == "" {
		c.VM = vm.VM{Incarnation: c.Self, DataCentre: c.DataCentre, Size: 1}
	}
	n := newNeighbours(c.Now, c.VM)
	if c.Limits == (contract.Limits{}) {
		c.Limits = contract.DefaultLimits()
	}
	return &Control{
		config:        c,
		mint:          contract.NewIDGenerator(contract.IDGeneratorConfig{DataCentre: c.DataCentre, Issuer: c.Self, Key: c.Key}),
		ledger:        contract.NewLedger(c.Limits),
		witness:       contract.NewWitness(contract.WitnessConfig{Self: c.Self, Limits: c.Limits}),
		scheduler:     dispatch.New(c.Dispatch),
		roster:        n.membership.Roster(),
		owners:        make(map[owner.ID]owner.Owner),
		endpoints:     make(map[datacentre.EndpointID]datacentre.Endpoint),
		outboxes:      make(map[vm.Incarnation]*outbox),
		witnessForIDs: vm.None,
		fences:        make(map[vm.Incarnation]*backoff),
		lastSeen:      make(map[vm.Incarnation]clock.Millis),
		running:       make(map[dispatch.Start]contract.AttemptID),
		waiters:       newWaiting(),
		// The generator only spreads retries; its seed differs between VMs.
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(string(c.Self)), 0)),

		neighbours:      n,
		drains:          datacentre.NewDrains(),
		ceilings:        datacentre.NewSlotLimits(),
		accounts:        accounting.NewLedger(),
		usageTurns:      make(map[vm.Incarnation]usageTurn),
		dataCentres:     accounting.NewDataCentres(),
		dataCentreTurns: make(map[vm.Incarnation]usageTurn),
		lending:         newLending(c.Self, c.AttemptTimeout),
		granted:         make(map[datacentre.EndpointID]datacentre.Slots),
		homes:           make(map[datacentre.EndpointID]bool),
	}
}

// Handle takes one event and returns what is to be done. The slice is valid until the
// next call.
func (c *Control) Handle(now clock.Millis, event Event) []Action {
	c.actions = c.actions[:0]
	if !c.started {
		c.started, c.startedAt = true, now
	}
	switch e := event.(type) {
	case ReserveIDs:
		c.reserveIDs(now, e)
	case Submitted:
		c.submitted(now, e)
	case AnswerRequested:
		c.asked(now, e)
	case Cancelled:
		c.cancelled(now, e)
	case WaiterCancelled:
		c.waiterGone(e.Waiter)
	case AttemptEnded:
		c.noteNotRun(now, e)
		c.attemptEnded(now, e)
	case RecordsAnswered:
		c.recordsAnswered(now, e)
	case RecordsReceived:
		c.recordsReceived(now, e)
	case WitnessAnswerRequested:
		c.witnessAsked(now, e)
	case RosterChanged:
		c.rosterChanged(now, e)
	case EndpointsListed:
		c.endpointsListed(now, e)
	case OwnersChanged:
		c.ownersChanged(now, e)
	case PeerSeen:
		c.peerHeard(now, e)
	case PairRowDecided:
		c.pairRowDecided(now, e)
	case OrphanAnswerRequested:
		c.orphanAsked(now, e)
	case ShutdownBegun:
		c.leave(now)
		c.shutdownBegun(e)
	case HandOverAnswered:
		c.handOverAnswered(now, e)
	case HandOverReceived:
		c.witness.HandOver(now, e.Issuer, e.Records, e.Last)
		c.do(ReplyTo{Waiter: e.Waiter, Reply: RecordsReply{}})
	case HeartbeatReceived:
		c.heartbeatReceived(now, e)
	case HeartbeatAnswered:
		c.heartbeatAnswered(now, e)
	case HeartbeatFailed:
		c.heartbeatEnded(e.To)
	case RowsRead:
		c.rowsRead(now, e)
	case VMsListed:
		c.setRoster(now, c.neighbours.membership.RecordList(now, e.Entries))
	case LoanRequested:
		c.loanRequested(now, e)
	case LoanAnswered:
		c.loanAnswered(now, e)
	case LoanFailed:
		c.loanFailed(now, e)
	case LoansReturned:
		c.loansReturned(now, e)
	case LoansAcknowledged:
		c.lending.borrowings.RecordAcknowledgement(e.Returns)
	case UsageRequested:
		c.usageAsked(now, e)
	case BundleOffered:
		c.bundleOffered(now, e)
	case SignOffsRead:
		c.bundles.RecordSignOffs(e.Signed)
	case Tick:
		c.passTime(now)
		c.tick(now)
	}
	c.startTasks(now)
	c.answerDropped(now)
	c.askForLoans(now)
	c.stopLateStarts(now)
	c.flushOutboxes(now)
	c.reportDrained()
	return c.actions
}

// tick does what is due by time alone, at a bounded cost.
func (c *Control) tick(now clock.Millis) {
	c.scheduler.Tick(now)
	c.ledger.Evict(now)
	c.witness.Evict(now)
	c.retryRows(now)
	c.forgetGone(now)
}

// QueuedTasks returns how many tasks wait for a slot.
func (c *Control) QueuedTasks() int { return c.scheduler.Queued() }

// StrayAnswers returns how many ends of attempts were dropped because the attempt was not
// running.
func (c *Control) StrayAnswers() int { return c.strayAnswers }

func (c *Control) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Control) answer(w WaiterID, a contract.Answer) {
	c.do(ReplyTo{Waiter: w, Reply: AnswerReply{Answer: a}})
}

func (c *Control) reserveIDs(now clock.Millis, e ReserveIDs) {
	ids := make([]contract.SubmissionID, e.Count)
	for i := range ids {
		ids[i] = c.mint.Reserve(now, e.Owner, c.witnessForIDs)
	}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: ReservedIDs{IDs: ids}})
}

func (c *Control) ownersChanged(now clock.Millis, e OwnersChanged) {
	clear(c.owners)
	for _, o := range e.Owners {
		c.owners[o.ID] = o
	}
	c.scheduler.SetOwners(now, e.Owners)
}
