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
	Timeouts    leader.Timeouts
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

	gateway  *gateway.Gateway
	monitors map[shard.ID]*failover.Monitor
	leaders  map[shard.ID]*ledShard
	shards   []shard.ID

	desired          *queue.State
	endpoints        []endpoint.Endpoint
	endpointsVersion int64
	endpointsAt      clock.Millis
	// missingSince tells since when endpoints are missing in the store's list.
	missingSince map[datacentre.EndpointID]clock.Millis
	// lastMissingAt is when an endpoint was last found missing; at first it is the start, since
	// nothing is known of the time before.
	lastMissingAt clock.Millis
	vms           []shard.VM
	vmRecords     map[vm.ID]shard.VM
	// heartbeatAt is when each VM last sent a beat here.
	heartbeatAt map[vm.Incarnation]clock.Millis
	loads       map[shard.ID]shard.Load
	// probes tell whether the endpoints of other data centres can be reached.
	probes map[shard.ID]probeState

	callers map[job.Key]chan<- job.Outcome
	peers   map[job.Key]chan<- job.Outcome

	lastFetchAt clock.Millis
	// seeds are asked in turn; the next is due at askSeedAt.
	seeds           []string
	nextSeedQueryAt clock.Millis
	// shutdown says that the VM hands over and takes nothing new, since shutdownAt.
	shutdown   bool
	shutdownAt clock.Millis
	actions    []Action
}

// ledShard is a cell whose home this VM is.
type ledShard struct {
	leader     *leader.Leader
	writing    bool
	writtenAt  clock.Millis
	acquiredAt clock.Millis
	// cleanHandOver says that the home before has told all endpoints where it had runs.
	cleanHandOver bool
	// savedAt is when what the home has learnt was last written to the store.
	savedAt clock.Millis
	// yielding says that a successor has been asked to take over; lastAsked is its rank in
	// the lineup of revision askedUnder.
	yielding bool
	// nextYieldAt is when a VM that shuts down looks for a successor again.
	nextYieldAt       clock.Millis
	lastAskedRank     int
	lastAskedRevision int64
}

// New returns the control state of a VM that knows nothing yet.
func New(c Config) *Control {
	n := &Control{
		config: c, now: c.Now, lastMissingAt: c.Now,
		monitors: make(map[shard.ID]*failover.Monitor), leaders: make(map[shard.ID]*ledShard),
		missingSince: make(map[datacentre.EndpointID]clock.Millis), heartbeatAt: make(map[vm.Incarnation]clock.Millis), loads: make(map[shard.ID]shard.Load), probes: make(map[shard.ID]probeState),
		callers: make(map[job.Key]chan<- job.Outcome), peers: make(map[job.Key]chan<- job.Outcome),
	}
	for _, dc := range c.DataCentres {
		id := shard.ForDataCentre(dc)
		n.shards = append(n.shards, id)
		n.monitors[id] = failover.NewMonitor(c.Self.Incarnation, id, c.Now)
	}
	slices.Sort(n.shards)
	n.seeds = slices.DeleteFunc(slices.Clone(c.Seeds), func(a string) bool { return a == c.Self.Address })
	n.nextSeedQueryAt = c.Now + firstSeedQueryDelay
	n.gateway = gateway.New(gateway.Config{Self: c.Self.Incarnation, Leaders: n, FailoverTimeout: failoverTimeout})
	return n
}

// failoverTimeout is how long a job waits for the next home of its cell: a successor takes over
// about 500 ms after the last answer of the home.
const failoverTimeout = clock.Millis(700)

// Handle takes in an event and returns what is to be done.
func (n *Control) Handle(now clock.Millis, e Event) []Action {
	n.now, n.actions = now, nil
	switch e := e.(type) {
	case JobArrived:
		n.jobArrived(e)
	case CallerDisconnected:
		n.gateway.CallerDisconnected(e.Key, now)
	case CancelRequested:
		n.cancel(e.Job)
	case SubmitAnswered:
		n.gateway.HandleAnswer(e.Key, e.From, e.Outcome, now)
	case PeerSubmitted:
		n.peerSubmitted(e)
	case PeerHeartbeat:
		n.peerHeartbeat(e)
	case HeartbeatAnswered:
		n.heartbeatAnswered(e)
	case PeerCancelled:
		n.cancelLocally(e.Job)
	case PeerYielded:
		n.peerYielded(e)
	case YieldEnded:
		n.yieldEnded(e)
	case LeaderEvent:
		n.sendToLeader(e.Shard, e.Event)
	case DesiredStateLoaded:
		n.desiredStateLoaded(e.State)
	case EndpointsLoaded:
		n.endpointsLoaded(e)
	case VMsLoaded:
		n.vmsLoaded(e.VMs)
	case ReplicaSetsLoaded:
		for _, l := range e.ReplicaSets {
			n.applyReplicaSet(l)
		}
	case ReplicaSetWritten:
		n.replicaSetWritten(e)
	case EstimatesLoaded:
		n.sendToLeader(e.Shard, leader.EstimatesLoaded{Estimates: e.Estimates})
	case PeerStateRequested:
		e.Reply <- n.deploymentState()
	case SeedAnswered:
		n.seedAnswered(e.State)
	case ProbeEnded:
		n.probeEnded(e)
	case ShutdownRequested:
		n.beginShutdown()
	case ShutdownOverdue:
		n.gateway.EndAll(job.Draining, now)
		for _, c := range n.shards {
			n.stepDown(c)
		}
	case Tick:
		n.tick()
	}
	n.runGatewayActions()
	return n.actions
}

// Busy reports whether time matters to what this VM does.
func (n *Control) Busy() bool {
	if n.gateway.Len() > 0 {
		return true
	}
	for _, h := range n.leaders {
		if h.leader.Busy() {
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
	return n.gateway.Len() == 0 && len(n.leaders) == 0
}

// Desired returns the desired state in force, or nil.
func (n *Control) Desired() *queue.State { return n.desired }

// Endpoints returns the list of endpoints and its version.
func (n *Control) Endpoints() ([]endpoint.Endpoint, int64) { return n.endpoints, n.endpointsVersion }

// InReplicaSet reports whether this VM is home or successor of a cell, and whether it is home.
func (n *Control) InReplicaSet() (member, isHome bool) {
	for _, c := range n.shards {
		l := n.monitors[c].ReplicaSet()
		if l.Rank(n.config.Self.Incarnation) >= 0 {
			member = true
		}
	}
	return member, len(n.leaders) > 0
}

func (n *Control) emit(a Action) { n.actions = append(n.actions, a) }

// runGatewayActions carries out what the front wants. Jobs for a home of this VM are handed over here.
func (n *Control) runGatewayActions() {
	for {
		actions := n.gateway.TakeActions()
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
				n.releaseLease(a)
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
	n.emit(r)
}

func (n *Control) releaseLease(a gateway.ReleaseLease) {
	v := n.monitors[a.Shard]
	if v == nil {
		return
	}
	if n.leaders[a.Shard] != nil {
		n.renewOwnLeases(a.Shard)
		return
	}
	v.ExpediteHeartbeat()
	n.step(a.Shard)
}

func (n *Control) submit(a gateway.Submit) {
	m, _, clockThere, ok := n.monitors[a.To].Leader(n.now)
	if !ok {
		n.gateway.HandleAnswer(a.Submission.Key, a.To, job.Refused{Reason: job.NotLeader}, n.now)
		return
	}
	if n.leaders[a.To] != nil {
		n.sendToLeader(a.To, leader.Submitted{Submission: a.Submission})
		return
	}
	a.Submission.Expires = clockThere + submissionValid
	n.emit(SendSubmission{To: m, Shard: a.To, Submission: a.Submission})
}

// submissionValid is how long a submission may be on its way. A round trip takes a few
// milliseconds; the sum with interest and lease stays below the 1,300 ms after which callers
// send a job again.
const submissionValid = clock.Millis(250)

func (n *Control) jobArrived(e JobArrived) {
	k := n.gateway.Accept(e.Job, e.Limit, n.leaderWaitLimit(&e.Job), n.now)
	n.callers[k] = e.Ended
	e.Accepted <- k
}

// leaderWaitLimit is how long a job may wait for a home and still meet its objective: the objective
// less the declared time of its longest chain.
func (n *Control) leaderWaitLimit(j *job.Job) clock.Millis {
	q := n.desired.Queue(j.Queue)
	if q == nil {
		return 0
	}
	chain := j.CriticalPath(func(s *job.Step) clock.Millis { return s.Estimate })
	return q.Objective(chain) - chain
}

func (n *Control) peerSubmitted(e PeerSubmitted) {
	if n.leaders[e.Shard] == nil {
		e.Ended <- job.Refused{Reason: job.NotLeader, RetryAfter: clock.Second}
		return
	}
	n.peers[e.Submission.Key] = e.Ended
	n.sendToLeader(e.Shard, leader.Submitted{Submission: e.Submission})
}

// sendToLeader hands an event to a home and passes on what it wants done.
func (n *Control) sendToLeader(c shard.ID, e leader.Event) {
	h := n.leaders[c]
	if h == nil {
		return
	}
	n.applyLeaderActions(c, h.leader.Handle(n.now, e))
}

func (n *Control) applyLeaderActions(c shard.ID, actions []leader.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leader.Start, leader.Stop, leader.Hold:
			n.emit(LeaderAction{Shard: c, Action: a})
		case leader.Answer:
			n.deliverOutcome(c, a)
		case leader.Fenced:
			n.stepDown(c)
		case leader.LogDecision:
			n.emit(Report{Topic: LeaderDecision, Shard: c, Job: a.Job, Decision: &a})
		}
	}
}

// deliverOutcome passes the outcome of a submission to the VM that made it.
func (n *Control) deliverOutcome(c shard.ID, a leader.Answer) {
	if a.Key.Entry == n.config.Self.Incarnation {
		n.gateway.HandleAnswer(a.Key, c, a.Outcome, n.now)
		return
	}
	if ended := n.peers[a.Key]; ended != nil {
		ended <- a.Outcome
		delete(n.peers, a.Key)
	}
}

func (n *Control) cancel(id job.ID) {
	for _, c := range n.shards {
		if n.leaders[c] != nil {
			continue
		}
		if m, _, _, ok := n.monitors[c].Leader(n.now); ok {
			n.emit(SendCancel{To: m, Job: id})
		}
	}
	n.cancelLocally(id)
}

func (n *Control) cancelLocally(id job.ID) {
	for _, c := range n.shards {
		n.sendToLeader(c, leader.Cancelled{Job: id})
	}
}

func (n *Control) vmsLoaded(vms []shard.VM) {
	n.vms, n.vmRecords = vms, make(map[vm.ID]shard.VM, len(vms))
	for _, v := range vms {
		n.vmRecords[v.Incarnation.VM()] = v
	}
	for _, c := range n.shards {
		n.step(c)
	}
}

func (n *Control) desiredStateLoaded(s *queue.State) {
	if n.desired != nil && s.Version <= n.desired.Version {
		return
	}
	n.desired = s
	n.emit(Report{Topic: DesiredStateApplied, Version: s.Version})
	for _, c := range n.shards {
		n.sendToLeader(c, leader.DesiredState{State: s})
	}
}

// Available implements front.Homes: the cell of this VM's data centre first, then the
// others, those with the most free room first.
func (n *Control) Available(now clock.Millis) []shard.ID {
	own := shard.ForDataCentre(n.config.Self.DataCentre)
	var all []shard.ID
	for _, c := range n.shards {
		if _, _, _, ok := n.monitors[c].Leader(now); ok {
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
	v := n.monitors[c]
	if v == nil {
		return "", false
	}
	m, _, _, ok := v.Leader(now)
	return m.Incarnation, ok
}
