// Package entry is the entry VM's daemon at work: the state machine that makes every
// decision, the goroutine that runs it, and the traffic that serves it.
package entry

import (
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
	Key        []byte
	Dispatch   dispatch.Config
	// AttemptTimeout bounds one send to an endpoint.
	AttemptTimeout clock.Millis
}

// Control holds all control state of an entry VM. Handle is its only entry point and
// does no I/O; one goroutine calls it.
type Control struct {
	config    ControlConfig
	mint      *contract.Mint
	ledger    *contract.Ledger
	witness   *contract.Witness
	scheduler *dispatch.Scheduler
	roster    *vm.Roster
	bundles   bundle.Holder
	owners    map[owner.ID]owner.Owner
	endpoints map[datacentre.EndpointID]datacentre.Endpoint
	outboxes  map[vm.Incarnation]*outbox
	waiters   map[contract.JobRef][]WaiterID
	actions   []Action
}

// NewControl returns a control state machine without bundle, roster or endpoints.
func NewControl(c ControlConfig) *Control {
	return &Control{
		config:    c,
		mint:      contract.NewMint(contract.MintConfig{DataCentre: c.DataCentre, Issuer: c.Self, Key: c.Key}),
		ledger:    contract.NewLedger(),
		witness:   contract.NewWitness(),
		scheduler: dispatch.New(c.Dispatch),
		roster:    vm.NewRoster(vm.RosterConfig{Self: c.Self}),
		owners:    make(map[owner.ID]owner.Owner),
		endpoints: make(map[datacentre.EndpointID]datacentre.Endpoint),
		outboxes:  make(map[vm.Incarnation]*outbox),
		waiters:   make(map[contract.JobRef][]WaiterID),
	}
}

// Handle takes one event and returns what is to be done. The slice is valid until the
// next call.
func (c *Control) Handle(now clock.Millis, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case ReserveIDs:
		c.reserveIDs(now, e)
	case Submitted:
		c.submitted(now, e)
	case Asked:
		c.asked(e)
	case Cancelled:
		c.cancelled(now, e)
	case WaiterGone:
		c.forgetWaiter(e.Waiter)
	case AttemptEnded:
		c.attemptEnded(now, e)
	case RecordsAnswered:
		c.recordsAnswered(now, e)
	case RecordsReceived:
		c.recordsReceived(e)
	case WitnessAsked:
		c.witnessAsked(e)
	case RosterChanged:
		c.roster = e.Roster
		c.assignHomes(now)
	case EndpointsListed:
		c.endpointsListed(now, e)
	case OwnersChanged:
		c.ownersChanged(now, e)
	case BundleOffered:
		c.bundleOffered(now, e)
	case Tick:
	}
	c.startTasks(now)
	c.flushOutboxes()
	return c.actions
}

func (c *Control) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Control) answer(w WaiterID, a contract.Answer) {
	c.do(ReplyTo{Waiter: w, Reply: AnswerReply{Answer: a}})
}

func (c *Control) reserveIDs(now clock.Millis, e ReserveIDs) {
	ids := make([]contract.SubmissionID, e.Count)
	witness := c.roster.Witness()
	for i := range ids {
		ids[i] = c.mint.Reserve(now, e.Owner, witness)
	}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: IDs{IDs: ids}})
}

func (c *Control) endpointsListed(now clock.Millis, e EndpointsListed) {
	for id := range c.endpoints {
		c.scheduler.SetSlots(now, id, 0)
	}
	clear(c.endpoints)
	for _, ep := range e.Endpoints {
		c.endpoints[ep.ID] = ep
	}
	c.assignHomes(now)
}

// assignHomes gives the scheduler the slots of the endpoints whose home is this VM.
func (c *Control) assignHomes(now clock.Millis) {
	for id, ep := range c.endpoints {
		home, ok := c.roster.Home(id, ep.DataCentre)
		slots := datacentre.Slots(0)
		if ok && home.Incarnation == c.config.Self {
			slots = ep.Slots
		}
		c.scheduler.SetSlots(now, id, slots)
	}
}

func (c *Control) ownersChanged(now clock.Millis, e OwnersChanged) {
	clear(c.owners)
	for _, o := range e.Owners {
		c.owners[o.ID] = o
	}
	c.scheduler.SetOwners(now, e.Owners)
}
