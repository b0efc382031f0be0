// Package entry implements the daemon of an entry VM: the state machine that makes every
// decision, the goroutine that runs it, and the traffic goroutines that do its I/O.
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

// ControlConfig configures a control state machine.
type ControlConfig struct {
	DataCentre datacentre.ID
	Self       vm.Incarnation
	// VM describes this VM to its peers; by default a VM of size 1 without an address.
	VM vm.VM
	// Now is the time at which the control state begins.
	Now clock.Millis
	// Key authenticates the ids that this VM issues.
	Key      []byte
	Dispatch dispatch.Config
	// AttemptTimeout limits one send to an endpoint.
	AttemptTimeout clock.Millis
	// Limits apply to the ledger and to the witness's records separately.
	Limits contract.Limits
}

// Control holds all control state of an entry VM. Handle is its only entry point and
// does no I/O; one goroutine calls it.
type Control struct {
	config      ControlConfig
	idGenerator *contract.IDGenerator
	ledger      *contract.Ledger
	witness     *contract.Witness
	scheduler   *dispatch.Scheduler
	roster      *vm.Roster
	bundles     bundle.Holder
	owners      map[owner.ID]owner.Owner
	endpoints   map[datacentre.EndpointID]datacentre.Endpoint
	outboxes    map[vm.Incarnation]*outbox
	// witnesses are the keys of outboxes in sorted order.
	witnesses []vm.Incarnation
	// witnessForIDs is the witness assigned to newly reserved ids.
	witnessForIDs vm.Incarnation
	// pendingFences are the issuers whose pair row this VM, as their witness, is writing.
	pendingFences map[vm.Incarnation]*backoff
	fenceRetries  []vm.Incarnation
	// lastSeen is, for each VM that is not present, when it ceased to be present, when it last
	// made contact, or, if it was never present, when its absence was first asked about.
	lastSeen        map[vm.Incarnation]clock.Millis
	pruneLastSeenAt clock.Millis
	// tableReadAt is when the latest read of the platform's table began of which every row is
	// in the roster.
	tableReadAt clock.Millis
	// handledAt is when the latest event was handled, to detect a pause of this VM.
	handledAt clock.Millis
	retries   retryBudget
	// running are the attempts whose result has not been reported.
	running map[dispatch.Start]contract.AttemptID
	// strayAnswers counts results of attempts that are not running: duplicates, and
	// results with a wrong id.
	strayAnswers int
	draining     bool
	drainWaiters []WaiterID
	waiters      *waiterIndex
	rng          *rand.Rand
	actions      []Action

	peers        *peerState
	drains       *datacentre.Drains
	loans        *loanState
	slotLimits   *datacentre.SlotLimits
	accounts     *accounting.Ledger
	usageCursors map[vm.Incarnation]usageCursor
	dataCentres  *accounting.DataCentreLedger
	// report is the most recently built accounting report; it is rebuilt from nextReportAt on.
	report            accounting.Report
	nextReportAt      clock.Millis
	dataCentreCursors map[vm.Incarnation]usageCursor
	// assignedSlots are the slots that were last set in the scheduler.
	assignedSlots map[datacentre.EndpointID]datacentre.Slots
	// homes caches whether this VM is an endpoint's home VM under the current roster.
	homes map[datacentre.EndpointID]bool
}

// NewControl returns a control state machine without a bundle, peers or endpoints.
func NewControl(c ControlConfig) *Control {
	if c.VM.Incarnation == "" {
		c.VM = vm.VM{Incarnation: c.Self, DataCentre: c.DataCentre, Size: 1}
	}
	peers := newPeerState(c.Now, c.VM)
	if c.Limits == (contract.Limits{}) {
		c.Limits = contract.DefaultLimits()
	}
	return &Control{
		config:        c,
		idGenerator:   contract.NewIDGenerator(contract.IDGeneratorConfig{DataCentre: c.DataCentre, Issuer: c.Self, Key: c.Key}),
		ledger:        contract.NewLedger(c.Limits),
		witness:       contract.NewWitness(contract.WitnessConfig{Self: c.Self, Limits: c.Limits}),
		scheduler:     dispatch.New(c.Dispatch),
		roster:        peers.membership.Roster(),
		owners:        make(map[owner.ID]owner.Owner),
		endpoints:     make(map[datacentre.EndpointID]datacentre.Endpoint),
		outboxes:      make(map[vm.Incarnation]*outbox),
		witnessForIDs: vm.None,
		pendingFences: make(map[vm.Incarnation]*backoff),
		lastSeen:      make(map[vm.Incarnation]clock.Millis),
		running:       make(map[dispatch.Start]contract.AttemptID),
		waiters:       newWaiterIndex(),
		// The generator is used only for retry jitter; its seed differs between VMs.
		rng:       rand.New(rand.NewPCG(xxhash.Sum64String(string(c.Self)), 0)),
		handledAt: c.Now,

		peers:             peers,
		drains:            datacentre.NewDrains(),
		slotLimits:        datacentre.NewSlotLimits(),
		accounts:          accounting.NewLedger(),
		usageCursors:      make(map[vm.Incarnation]usageCursor),
		dataCentres:       accounting.NewDataCentreLedger(),
		dataCentreCursors: make(map[vm.Incarnation]usageCursor),
		loans:             newLoanState(c.Self, c.AttemptTimeout),
		assignedSlots:     make(map[datacentre.EndpointID]datacentre.Slots),
		homes:             make(map[datacentre.EndpointID]bool),
	}
}

// Handle processes one event and returns the resulting actions. The slice is valid until
// the next call.
func (c *Control) Handle(now clock.Millis, event Event) []Action {
	c.actions = c.actions[:0]
	c.compensatePause(now)
	switch e := event.(type) {
	case ReserveIDs:
		c.reserveIDs(now, e)
	case Submitted:
		c.handleSubmitted(now, e)
	case AnswerRequested:
		c.handleAnswerRequested(now, e)
	case Cancelled:
		c.handleCancelled(now, e)
	case WaiterCancelled:
		c.handleWaiterCancelled(e.Waiter)
	case AttemptEnded:
		c.recordNotStarted(now, e)
		c.handleAttemptEnded(now, e)
	case RecordsAnswered:
		c.handleRecordsAnswered(now, e)
	case RecordsReceived:
		c.handleRecordsReceived(now, e)
	case WitnessAnswerRequested:
		c.handleWitnessAnswerRequested(now, e)
	case RosterChanged:
		c.handleRosterChanged(now, e)
	case EndpointsListed:
		c.handleEndpointsListed(now, e)
	case OwnersChanged:
		c.handleOwnersChanged(now, e)
	case PeerSeen:
		c.handlePeerSeen(now, e)
	case PairRowDecided:
		c.handlePairRowDecided(now, e)
	case OrphanAnswerRequested:
		c.handleOrphanAnswerRequested(now, e)
	case ShutdownBegun:
		c.announceLeaving(now)
		c.handleShutdownBegun(e)
	case HandOverAnswered:
		c.handleHandOverAnswered(now, e)
	case HandOverReceived:
		c.witness.HandOver(now, e.Issuer, e.Records, e.Last)
		c.emit(ReplyTo{Waiter: e.Waiter, Reply: RecordsReply{}})
	case HeartbeatReceived:
		c.handleHeartbeatReceived(now, e)
	case HeartbeatAnswered:
		c.handleHeartbeatAnswered(now, e)
	case HeartbeatFailed:
		c.endHeartbeat(e.To)
	case RowsRead:
		c.handleRowsRead(now, e)
	case VMsListed:
		c.setRoster(now, c.peers.membership.RecordList(now, e.Entries))
	case LoanRequested:
		c.handleLoanRequested(now, e)
	case LoanAnswered:
		c.handleLoanAnswered(now, e)
	case LoanFailed:
		c.handleLoanFailed(now, e)
	case LoansReturned:
		c.handleLoansReturned(now, e)
	case LoansAcknowledged:
		c.loans.borrowed.RecordAcknowledgement(e.Returns)
	case UsageRequested:
		c.handleUsageRequested(now, e)
	case BundleOffered:
		c.handleBundleOffered(now, e)
	case SignOffsRead:
		c.bundles.RecordSignOffs(e.Signed)
	case Tick:
		c.advanceTime(now)
		c.tick(now)
	}
	c.startTasks(now)
	c.handleDropped(now)
	c.requestLoans(now)
	c.cancelLateStarts(now)
	c.flushOutboxes(now)
	c.reportDrained()
	return c.actions
}

// tick does the periodic work, at a bounded cost.
func (c *Control) tick(now clock.Millis) {
	c.scheduler.Tick(now)
	c.ledger.Evict(now)
	c.witness.Evict(now)
	c.retryRows(now)
	c.pruneLastSeen(now)
}

// QueuedTasks returns how many tasks wait for a slot.
func (c *Control) QueuedTasks() int { return c.scheduler.Queued() }

// StrayAnswers returns how many attempt results were dropped because the attempt was not
// running.
func (c *Control) StrayAnswers() int { return c.strayAnswers }

func (c *Control) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Control) answer(w WaiterID, a contract.Answer) {
	c.emit(ReplyTo{Waiter: w, Reply: AnswerReply{Answer: a}})
}

func (c *Control) reserveIDs(now clock.Millis, e ReserveIDs) {
	ids := make([]contract.SubmissionID, e.Count)
	for i := range ids {
		ids[i] = c.idGenerator.Reserve(now, e.Owner, c.witnessForIDs)
	}
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: ReservedIDs{IDs: ids}})
}

func (c *Control) handleOwnersChanged(now clock.Millis, e OwnersChanged) {
	clear(c.owners)
	for _, o := range e.Owners {
		c.owners[o.ID] = o
	}
	c.scheduler.SetOwners(now, e.Owners)
}
