// Package node is the control state of an entry VM: the jobs of its callers, the cells whose
// home it is, whom it believes to be home elsewhere, and the desired state. It does no I/O;
// one goroutine feeds it events and carries out the actions that come back.
package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/gateway"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Config holds what the control state is made of.
type Config struct {
	Self shard.VM
	// DataCentres are all data centres of the deployment.
	DataCentres []datacentre.ID
	Times       leader.Timeouts
	FarFactor   float64
	// Successors is how many VMs stand in for a home.
	Successors int
	// Seeds are the addresses of some VMs, this one perhaps among them, to be asked while the
	// store is away.
	Seeds []string
	// HandOverTimeout is how long after the request to shut down a cell may be kept for which there is
	// no successor yet.
	HandOverTimeout clock.Millis
	Now             clock.Millis
}

// Control is the control state. It belongs to one goroutine.
type Control struct {
	config Config
	now    clock.Millis

	front *gateway.Gateway
	views map[shard.ID]*failover.Monitor
	homes map[shard.ID]*hosted
	cells []shard.ID

	desired          *queue.State
	endpoints        []endpoint.Endpoint
	endpointsVersion int64
	endpointsAt      clock.Millis
	// vanished tells since when endpoints are missing in the store's list.
	vanished map[datacentre.EndpointID]clock.Millis
	// shrunkAt is when an endpoint was last found missing; at first it is the start, since
	// nothing is known of the time before.
	shrunkAt clock.Millis
	vms      []shard.VM
	vmRows   map[vm.ID]shard.VM
	// heard is when each VM last sent a beat here.
	heard map[vm.Incarnation]clock.Millis
	loads map[shard.ID]shard.Load
	// probes tell whether the endpoints of other data centres can be reached.
	probes map[shard.ID]probe

	callers map[job.Key]chan<- job.Outcome
	peers   map[job.Key]chan<- job.Outcome

	fetchedAt clock.Millis
	// seeds are asked in turn; the next is due at askSeedAt.
	seeds     []string
	askSeedAt clock.Millis
	// shutdown says that the VM hands over and takes nothing new, since shutdownAt.
	shutdown   bool
	shutdownAt clock.Millis
	actions    []Action
}

// hosted is a cell whose home this VM is.
type hosted struct {
	home      *leader.Leader
	writing   bool
	writtenAt clock.Millis
	takenAt   clock.Millis
	// handedOver says that the home before has told all endpoints where it had runs.
	handedOver bool
	// savedAt is when what the home has learnt was last written to the store.
	savedAt clock.Millis
	// yielding says that a successor has been asked to take over; lastAsked is its rank in
	// the lineup of revision askedUnder.
	yielding bool
	// yieldAgainAt is when a VM that shuts down looks for a successor again.
	yieldAgainAt clock.Millis
	lastAsked    int
	askedUnder   int64
}

// New returns the control state of a VM that knows nothing yet.
func New(c Config) *Control {
	n := &Control{
		config: c, now: c.Now, shrunkAt: c.Now,
		views: make(map[shard.ID]*failover.Monitor), homes: make(map[shard.ID]*hosted),
		vanished: make(map[datacentre.EndpointID]clock.Millis), heard: make(map[vm.Incarnation]clock.Millis), loads: make(map[shard.ID]shard.Load), probes: make(map[shard.ID]probe),
		callers: make(map[job.Key]chan<- job.Outcome), peers: make(map[job.Key]chan<- job.Outcome),
	}
	for _, dc := range c.DataCentres {
		id := shard.ForDataCentre(dc)
		n.cells = append(n.cells, id)
		n.views[id] = failover.NewMonitor(c.Self.Incarnation, id, c.Now)
	}
	slices.Sort(n.cells)
	n.seeds = slices.DeleteFunc(slices.Clone(c.Seeds), func(a string) bool { return a == c.Self.Address })
	n.askSeedAt = c.Now + askSeedAfter
	n.front = gateway.New(gateway.Config{Self: c.Self.Incarnation, Leaders: n, FailoverTimeout: homeless})
	return n
}

// homeless is how long a job waits for the next home of its cell: a successor takes over
// about 500 ms after the last answer of the home.
const homeless = clock.Millis(700)

// Handle takes in an event and returns what is to be done.
func (n *Control) Handle(now clock.Millis, e Event) []Action {
	n.now, n.actions = now, nil
	switch e := e.(type) {
	case JobArrived:
		n.jobArrived(e)
	case CallerDisconnected:
		n.front.CallerDisconnected(e.Key, now)
	case CancelRequested:
		n.cancel(e.Job)
	case SubmitAnswered:
		n.front.HandleAnswer(e.Key, e.From, e.Outcome, now)
	case PeerSubmitted:
		n.peerSubmitted(e)
	case PeerHeartbeat:
		n.peerBeat(e)
	case HeartbeatAnswered:
		n.beatAnswered(e)
	case PeerCancelled:
		n.cancelHere(e.Job)
	case PeerYielded:
		n.peerYielded(e)
	case YieldEnded:
		n.yieldEnded(e)
	case LeaderEvent:
		n.tell(e.Shard, e.Event)
	case DesiredStateLoaded:
		n.desiredRead(e.State)
	case EndpointsLoaded:
		n.endpointsRead(e)
	case VMsLoaded:
		n.vmsRead(e.VMs)
	case ReplicaSetsLoaded:
		for _, l := range e.ReplicaSets {
			n.learn(l)
		}
	case ReplicaSetWritten:
		n.lineupWritten(e)
	case EstimatesLoaded:
		n.tell(e.Shard, leader.EstimatesLoaded{Estimates: e.Estimates})
	case PeerStateRequested:
		e.Reply <- n.introduction()
	case SeedAnswered:
		n.seedAnswered(e.State)
	case ProbeEnded:
		n.probeEnded(e)
	case ShutdownRequested:
		n.beginShutdown()
	case ShutdownOverdue:
		n.front.EndAll(job.Draining, now)
		for _, c := range n.cells {
			n.lose(c)
		}
	case Tick:
		n.passTime()
	}
	n.flush()
	return n.actions
}

// Busy reports whether time matters to what this VM does.
func (n *Control) Busy() bool {
	if n.front.Len() > 0 {
		return true
	}
	for _, h := range n.homes {
		if h.home.Busy() {
			return true
		}
	}
	return false
}

// Ready reports whether callers should be sent here.
func (n *Control) Ready() bool {
	return !n.shutdown && n.desired != nil && len(n.Available(n.now)) > 0
}

// Idle reports whether nobody waits for this VM and it is home of no cell.
func (n *Control) Idle() bool {
	return n.front.Len() == 0 && len(n.homes) == 0
}

// Desired returns the desired state in force, or nil.
func (n *Control) Desired() *queue.State { return n.desired }

// Endpoints returns the list of endpoints and its version.
func (n *Control) Endpoints() ([]endpoint.Endpoint, int64) { return n.endpoints, n.endpointsVersion }

// InReplicaSet reports whether this VM is home or successor of a cell, and whether it is home.
func (n *Control) InReplicaSet() (member, isHome bool) {
	for _, c := range n.cells {
		l := n.views[c].ReplicaSet()
		if l.Rank(n.config.Self.Incarnation) >= 0 {
			member = true
		}
	}
	return member, len(n.homes) > 0
}

func (n *Control) do(a Action) { n.actions = append(n.actions, a) }

// flush carries out what the front wants. Jobs for a home of this VM are handed over here.
func (n *Control) flush() {
	for {
		actions := n.front.TakeActions()
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			switch a := a.(type) {
			case gateway.Submit:
				n.submit(a)
			case gateway.Reply:
				n.reply(a)
			case gateway.ReleaseLease:
				n.withdraw(a)
			}
		}
	}
}

func (n *Control) reply(a gateway.Reply) {
	if ended := n.callers[a.Key]; ended != nil {
		ended <- a.Outcome
		delete(n.callers, a.Key)
	}
	r := Report{Topic: JobEnded, Shard: a.Shard, Job: a.Job, Outcome: a.Outcome, Waited: a.Waited, Parts: a.Parts}
	if n.desired != nil {
		r.Version = n.desired.Version
	}
	n.do(r)
}

func (n *Control) withdraw(a gateway.ReleaseLease) {
	v := n.views[a.Shard]
	if v == nil {
		return
	}
	if n.homes[a.Shard] != nil {
		n.tellInterest(a.Shard)
		return
	}
	v.ExpediteHeartbeat()
	n.step(a.Shard)
}

func (n *Control) submit(a gateway.Submit) {
	m, _, clockThere, ok := n.views[a.To].Leader(n.now)
	if !ok {
		n.front.HandleAnswer(a.Submission.Key, a.To, job.Refused{Reason: job.NotLeader}, n.now)
		return
	}
	if n.homes[a.To] != nil {
		n.tell(a.To, leader.Submitted{Submission: a.Submission})
		return
	}
	a.Submission.Expires = clockThere + submissionValid
	n.do(SendSubmission{To: m, Shard: a.To, Submission: a.Submission})
}

// submissionValid is how long a submission may be on its way. A round trip takes a few
// milliseconds; the sum with interest and lease stays below the 1,300 ms after which callers
// send a job again.
const submissionValid = clock.Millis(250)

func (n *Control) jobArrived(e JobArrived) {
	k := n.front.Accept(e.Job, e.Limit, n.patience(&e.Job), n.now)
	n.callers[k] = e.Ended
	e.Accepted <- k
}

// patience is how long a job may wait for a home and still meet its objective: the objective
// less the declared time of its longest chain.
func (n *Control) patience(j *job.Job) clock.Millis {
	q := n.desired.Queue(j.Queue)
	if q == nil {
		return 0
	}
	chain := j.CriticalPath(func(s *job.Step) clock.Millis { return s.Estimate })
	return q.Objective(chain) - chain
}

func (n *Control) peerSubmitted(e PeerSubmitted) {
	if n.homes[e.Shard] == nil {
		e.Ended <- job.Refused{Reason: job.NotLeader, RetryAfter: clock.Second}
		return
	}
	n.peers[e.Submission.Key] = e.Ended
	n.tell(e.Shard, leader.Submitted{Submission: e.Submission})
}

// tell hands an event to a home and passes on what it wants done.
func (n *Control) tell(c shard.ID, e leader.Event) {
	h := n.homes[c]
	if h == nil {
		return
	}
	n.carryOut(c, h.home.Handle(n.now, e))
}

func (n *Control) carryOut(c shard.ID, actions []leader.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leader.Start, leader.Stop, leader.Hold:
			n.do(LeaderAction{Shard: c, Action: a})
		case leader.Answer:
			n.answer(c, a)
		case leader.Fenced:
			n.lose(c)
		case leader.LogDecision:
			n.do(Report{Topic: LeaderNote, Shard: c, Job: a.Job, Note: &a})
		}
	}
}

// answer passes the outcome of a submission to the VM that made it.
func (n *Control) answer(c shard.ID, a leader.Answer) {
	if a.Key.Entry == n.config.Self.Incarnation {
		n.front.HandleAnswer(a.Key, c, a.Outcome, n.now)
		return
	}
	if ended := n.peers[a.Key]; ended != nil {
		ended <- a.Outcome
		delete(n.peers, a.Key)
	}
}

func (n *Control) cancel(id job.ID) {
	for _, c := range n.cells {
		if n.homes[c] != nil {
			continue
		}
		if m, _, _, ok := n.views[c].Leader(n.now); ok {
			n.do(SendCancel{To: m, Job: id})
		}
	}
	n.cancelHere(id)
}

func (n *Control) cancelHere(id job.ID) {
	for _, c := range n.cells {
		n.tell(c, leader.Cancelled{Job: id})
	}
}

func (n *Control) vmsRead(vms []shard.VM) {
	n.vms, n.vmRows = vms, make(map[vm.ID]shard.VM, len(vms))
	for _, v := range vms {
		n.vmRows[v.Incarnation.VM()] = v
	}
	for _, c := range n.cells {
		n.step(c)
	}
}

func (n *Control) desiredRead(s *queue.State) {
	if n.desired != nil && s.Version <= n.desired.Version {
		return
	}
	n.desired = s
	n.do(Report{Topic: DesiredStateApplied, Version: s.Version})
	for _, c := range n.cells {
		n.tell(c, leader.DesiredState{State: s})
	}
}

// Available implements front.Homes: the cell of this VM's data centre first, then the
// others, those with the most free room first.
func (n *Control) Available(now clock.Millis) []shard.ID {
	own := shard.ForDataCentre(n.config.Self.DataCentre)
	var all []shard.ID
	for _, c := range n.cells {
		if _, _, _, ok := n.views[c].Leader(now); ok {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b shard.ID) int {
		switch {
		case a == own:
			return -1
		case b == own:
			return 1
		}
		return int(n.loads[b].FreeCPU - n.loads[a].FreeCPU)
	})
	return all
}

// Leader implements front.Homes.
func (n *Control) Leader(c shard.ID, now clock.Millis) (vm.Incarnation, bool) {
	v := n.views[c]
	if v == nil {
		return "", false
	}
	m, _, _, ok := v.Leader(now)
	return m.Incarnation, ok
}
