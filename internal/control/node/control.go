// Package node holds the control state of an entry VM: the jobs of its callers, the shards that it
// leads, the assumed leaders of the other shards, and the desired state. It does no I/O: one
// goroutine passes events to it and executes the actions that it returns.
package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/gateway"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Config holds the settings of the control state.
type Config struct {
	Self shard.VM
	// DataCentres are all data centres of the deployment.
	DataCentres []datacentre.ID
	Timeouts    leader.Timeouts
	// FarFactor is how many times longer a task runs outside the rack of its data.
	FarFactor float64
	// Successors is the number of successors in a replica set.
	Successors int
	// Seeds are the addresses of VMs to query while the store is unavailable. They may include this
	// VM.
	Seeds []string
	// HandOverTimeout is how long after a shutdown request a shard without a successor is kept.
	HandOverTimeout clock.Millis
	// LinkDelay returns how long a message waits in front of this VM's link; nil means that none waits.
	LinkDelay func() clock.Millis
	// MaxJobs bounds the jobs that callers of this VM wait for, and JobMemory the memory for them; 0 means no bound.
	MaxJobs   int
	JobMemory link.Bytes
	// MaxCancelWaiters bounds the requests to cancel a job that wait for a confirmation; 0 means no bound.
	MaxCancelWaiters int
	// TasksPerEndpoint bounds the tasks at an endpoint, and MaxCalls the starts that a leader has no answer to, and
	// the stops; 0 means no bound. The leaders of this VM have as much memory for jobs as its callers.
	TasksPerEndpoint job.Slots
	MaxCalls         int
	Now              clock.Millis
}

// Control is the control state of a VM. It belongs to one goroutine.
type Control struct {
	config Config
	now    clock.Millis

	gateway   *gateway.Gateway
	monitors  map[shard.ID]*failover.Monitor
	ledShards map[shard.ID]*ledShard
	// lastLeadership is the latest leadership of this VM.
	lastLeadership LeadershipID
	shards         []shard.ID
	leaderBounds   leader.Bounds

	desired          *queue.State
	endpoints        []endpoint.Endpoint
	endpointsVersion int64
	endpointsAt      clock.Millis
	// missingSince is when each endpoint that is still in use disappeared from the store's list.
	missingSince map[datacentre.EndpointID]clock.Millis
	// unproven are the endpoints of which this VM does not know what they have told the store last: only the list of
	// another VM has them, or they have disappeared from a list that was read as a whole.
	unproven map[datacentre.EndpointID]bool
	// endpointsReadAt is when the list was last read from the store.
	endpointsReadAt clock.Millis
	// endpointsListedAt is a time from which on each endpoint of the list was in the store's, or 0 if it
	// is unknown for some.
	endpointsListedAt clock.Millis
	// lastMissingAt is when an endpoint last disappeared from the list, or may have done so unseen.
	// It is initially the start of the VM, because earlier lists are unknown.
	lastMissingAt clock.Millis
	// emptyPeriods are the shards that have no endpoints in the store's list. leaderKnownAt is when a shard last had a
	// leader as far as this VM knows, and listRequestedAt when the list was last requested because one had none.
	emptyPeriods    map[shard.ID]emptyPeriod
	leaderKnownAt   map[shard.ID]clock.Millis
	listRequestedAt clock.Millis
	// storeLost means that the latest read of the list of endpoints has failed or is overdue, as reported at
	// storeReportedAt.
	storeLost       bool
	storeReportedAt clock.Millis
	vms             []shard.VM
	vmRecords       map[vm.ID]shard.VM
	registration    registration
	// candidates are the VMs in the order in which they claim a shard.
	candidates map[shard.ID][]shard.VM
	// heartbeats are the last ones of each VM, or its last answers to one.
	heartbeats  map[vm.Incarnation]heartbeat
	loads       map[shard.ID]shard.Load
	evacuations evacuation.View
	// crashes are the recent crashes of endpoints, which the leaders of this VM share.
	crashes        *crash.History
	crashExchanges map[vm.Incarnation]crashExchange
	// probes say whether the endpoints of other data centres can be reached.
	probes map[shard.ID]probeState

	// cancellations are those of the last cancelRetention.
	cancellations map[job.Cancellation]*cancellation
	// cancelOrder has them in the order in which they arrived; cancelsConfirmedAt is when they were last
	// looked at.
	cancelOrder []*cancellation
	// cancelWaiters counts the requests that wait for a confirmation.
	cancelWaiters       int
	cancelsConfirmedAt  clock.Millis
	storedCancellations storedCancellations
	// callers and peers receive the outcomes of jobs of this VM's callers and of other VMs.
	callers map[job.Key]chan<- job.Outcome
	peers   map[job.Key]chan<- job.Outcome

	lastFetchAt clock.Millis
	// newerDesired is the latest version of the desired state that peers have named. They have named later
	// versions than this VM's, which has not changed since, from newerDesiredSince on. One was last requested
	// from a peer at desiredFetchAt.
	newerDesired                      queue.Version
	newerDesiredSince, desiredFetchAt clock.Millis
	// seeds are queried in rotation; the next query is due at nextSeedQueryAt.
	seeds           []string
	nextSeedQueryAt clock.Millis
	stage           stage
	actions         []Action
}

// heartbeat is a heartbeat of another VM, or its answer to one.
type heartbeat struct {
	receivedAt clock.Millis
	// senderClock is the other VM's clock when it sent the message, or 0 if it did not say.
	senderClock clock.Millis
	// address is where the other VM listens, or empty if it has not said so.
	address string
}

// earliestClock is a lower bound of the other VM's clock now, or 0 if there is none.
func (h heartbeat) earliestClock(now clock.Millis) clock.Millis {
	if h.senderClock == 0 {
		return 0
	}
	return h.senderClock + now - h.receivedAt
}

// ledShard is a shard that this VM leads.
type ledShard struct {
	id     LeadershipID
	leader *leader.Leader
	// writing says that a write of the replica set is pending; writtenAt is when the set was last
	// written or found unchanged.
	writing   bool
	writtenAt clock.Millis
	// acquiredAt is when this VM became the leader, or when a successor last declined the shard.
	acquiredAt clock.Millis
	// handedOverBy is the previous leader if it has listed all endpoints with attempts of its jobs.
	handedOverBy vm.Incarnation
	// savedAt is when the performance estimates were last written to the store.
	savedAt clock.Millis
	// savedCrashes is the revision of the crashes that were last written to the store.
	savedCrashes crash.Revision
	// cancellations is the read of the stored cancellations that this leadership waits for, or 0.
	cancellations CancellationLoad
	// yielding says that a successor has been asked to take over.
	yielding bool
	// nextYieldAt is when a VM that shuts down next looks for a successor.
	nextYieldAt clock.Millis
	// lastAskedRank is the rank of the last successor asked, in the replica set of revision
	// lastAskedRevision.
	lastAskedRank     int
	lastAskedRevision int64
}

// New returns the control state of a VM that has not received any data yet.
func New(c Config) *Control {
	n := &Control{
		config: c, now: c.Now, lastMissingAt: c.Now, stage: serving{},
		leaderBounds: leader.Bounds{Memory: job.NewMemoryBudget(c.JobMemory), TasksPerEndpoint: c.TasksPerEndpoint, Calls: c.MaxCalls},
		monitors:     make(map[shard.ID]*failover.Monitor), ledShards: make(map[shard.ID]*ledShard),
		missingSince: make(map[datacentre.EndpointID]clock.Millis), unproven: make(map[datacentre.EndpointID]bool), heartbeats: make(map[vm.Incarnation]heartbeat), loads: make(map[shard.ID]shard.Load), probes: make(map[shard.ID]probeState),
		crashes: crash.NewHistory(), crashExchanges: make(map[vm.Incarnation]crashExchange),
		candidates:    make(map[shard.ID][]shard.VM),
		cancellations: make(map[job.Cancellation]*cancellation),
		emptyPeriods:  make(map[shard.ID]emptyPeriod), leaderKnownAt: make(map[shard.ID]clock.Millis),
		callers: make(map[job.Key]chan<- job.Outcome), peers: make(map[job.Key]chan<- job.Outcome),
	}
	for _, dc := range c.DataCentres {
		id := shard.ForDataCentre(dc)
		n.shards = append(n.shards, id)
		n.monitors[id], n.leaderKnownAt[id] = failover.NewMonitor(c.Self.Incarnation, id, c.Now), c.Now
	}
	slices.Sort(n.shards)
	n.seeds = slices.DeleteFunc(slices.Clone(c.Seeds), func(a string) bool { return a == c.Self.Address })
	n.nextSeedQueryAt = c.Now + firstSeedQueryDelay
	n.gateway = gateway.New(gateway.Config{Self: c.Self.Incarnation, DataCentre: c.Self.DataCentre, Leaders: n, FailoverTimeout: failoverTimeout, MaxJobs: c.MaxJobs, Memory: job.NewMemoryBudget(c.JobMemory)})
	return n
}

// failoverTimeout is how long a job waits for the next leader of its shard. A successor takes over
// about 500 ms after the last answer of the leader.
const failoverTimeout = clock.Millis(700)

// Handle processes an event and returns the actions that result from it.
func (n *Control) Handle(now clock.Millis, e Event) []Action {
	n.now, n.actions = now, nil
	if n.storedCancellations.requested == 0 {
		n.loadCancellations()
	}
	switch e := e.(type) {
	case JobArrived:
		n.handleJobArrived(e)
	case CallerDisconnected:
		n.gateway.CallerDisconnected(e.Key, now)
	case CancelRequested:
		n.handleCancelRequested(e)
	case CancellationsSaved:
		n.handleCancellationsSaved(e)
	case CancellationsLoaded:
		n.handleCancellationsLoaded(e)
	case CancellationsRemoved:
		n.storedCancellations.handleRemoved(e, now)
	case CancelAnswered:
		n.handleCancelAnswered(e)
	case SubmitAnswered:
		n.gateway.HandleAnswer(e.Key, e.From, e.Outcome, now)
	case PeerSubmitted:
		n.handlePeerSubmitted(e)
	case PeerHeartbeat:
		n.handlePeerHeartbeat(e)
	case HeartbeatAnswered:
		n.handleHeartbeatAnswered(e)
	case PeerCancelled:
		n.handlePeerCancelled(e)
	case PeerYielded:
		n.handlePeerYielded(e)
	case YieldEnded:
		n.handleYieldEnded(e)
	case LeaderEvent:
		// The leadership that requested the action may have ended. Its answers say nothing about the
		// token and the attempts of a later one.
		if n.leads(e.Shard, e.Leadership) {
			n.sendToLeader(e.Shard, e.Event)
		}
	case DesiredStateLoaded:
		n.handleDesiredStateLoaded(e.State)
	case EndpointsLoaded:
		n.handleEndpointsLoaded(e)
	case StoreReported:
		n.handleStoreReported(e)
	case EvacuationsLoaded:
		if n.hasEvacuations() {
			n.updateEvacuations(e.State, e.ReadAt)
		}
	case VMsLoaded:
		n.handleVMsLoaded(e.VMs)
		n.checkRegistration(e)
	case VMWritten:
		n.handleVMWritten(e)
	case ReplicaSetsLoaded:
		for _, set := range e.ReplicaSets {
			n.applyReplicaSet(set)
		}
	case ReplicaSetWritten:
		n.handleReplicaSetWritten(e)
	case EstimatesLoaded:
		n.sendToLeader(e.Shard, leader.EstimatesLoaded{Estimates: e.Estimates})
	case CrashesLoaded:
		n.handleCrashesLoaded(e)
	case PeerStateRequested:
		e.Reply <- n.deploymentState()
	case SeedAnswered:
		n.handleSeedAnswered(e.State)
	case ProbeEnded:
		n.handleProbeEnded(e)
	case ShutdownRequested:
		n.beginShutdown(e.FinishBy)
	case ShutdownOverdue:
		n.endShutdown()
	case Tick:
		n.tick()
	}
	n.runGatewayActions()
	return n.actions
}

// Busy reports whether the state needs frequent ticks: callers wait, or a leader has work.
func (n *Control) Busy() bool {
	if n.gateway.Len() > 0 {
		return true
	}
	for _, led := range n.ledShards {
		if led.leader.Busy() {
			return true
		}
	}
	return false
}

// Ready reports whether callers should be sent here.
func (n *Control) Ready() bool {
	return !n.isLeaving() && n.desired != nil && len(n.Available(n.now)) > 0
}

// Idle reports whether no caller waits for this VM and it leads no shard.
func (n *Control) Idle() bool {
	return n.gateway.Len() == 0 && n.cancelWaiters == 0 && len(n.ledShards) == 0
}

// Desired returns the desired state in force, or nil.
func (n *Control) Desired() *queue.State { return n.desired }

// Endpoints returns the list of endpoints and its version.
func (n *Control) Endpoints() ([]endpoint.Endpoint, int64) { return n.endpoints, n.endpointsVersion }

// InReplicaSet reports whether this VM is the leader or a successor of any shard, and whether it
// leads one.
func (n *Control) InReplicaSet() (member, isLeader bool) {
	for _, id := range n.shards {
		set := n.monitors[id].ReplicaSet()
		if set.Rank(n.config.Self.Incarnation) >= 0 {
			member = true
		}
	}
	return member, len(n.ledShards) > 0
}

func (n *Control) emit(a Action) { n.actions = append(n.actions, a) }

// runGatewayActions carries out the actions of the gateway until there are no more. A job for a
// shard that this VM leads goes directly to the leader.
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
	e := LogEvent{Topic: JobEnded, Shard: a.Shard, Job: a.Job, Outcome: a.Outcome, Waited: a.Waited, Parts: a.Parts}
	if n.desired != nil {
		e.Version = n.desired.Version
	}
	n.emit(e)
}

func (n *Control) releaseLease(a gateway.ReleaseLease) {
	monitor := n.monitors[a.Shard]
	if monitor == nil {
		return
	}
	if n.ledShards[a.Shard] != nil {
		n.renewOwnLeases(a.Shard)
		return
	}
	monitor.ExpediteHeartbeat()
	n.step(a.Shard)
}

func (n *Control) submit(a gateway.Submit) {
	m, _, leaderClock, ok := n.monitors[a.To].Leader(n.now)
	if !ok || m.Incarnation != a.Leader {
		n.gateway.HandleAnswer(a.Submission.Key, gateway.Responder{Shard: a.To, VM: a.Leader}, job.Refused{Reason: job.NotLeader}, n.now)
		return
	}
	if n.ledShards[a.To] != nil {
		n.sendToLeader(a.To, leader.Submitted{Submission: a.Submission})
		return
	}
	a.Submission.Expires = leaderClock + n.config.Timeouts.SubmissionTimeout
	n.emit(SendSubmission{To: m, Shard: a.To, Submission: a.Submission})
}

func (n *Control) handleJobArrived(e JobArrived) {
	limit := e.Limit - (n.now - e.WaitsSince)
	if n.isCancelled(&e.Job) {
		e.Ended <- job.Cancelled{}
		close(e.Accepted)
		return
	}
	if limit <= 0 {
		// The caller may have sent the job to another VM.
		e.Ended <- job.Stopped{Reason: job.TimeLimit}
		close(e.Accepted)
		return
	}
	if !n.takes(&e.Job, limit) {
		outcome := n.draining(&e.Job)
		e.Ended <- outcome
		close(e.Accepted)
		n.emit(LogEvent{Topic: JobEnded, Job: e.Job.ID, Outcome: outcome, Version: n.desired.Version})
		return
	}
	k := n.gateway.Accept(e.Job, limit, n.leaderWaitLimit(&e.Job), n.now)
	n.callers[k] = e.Ended
	e.Accepted <- k
}

// leaderWaitLimit is how long a job may wait for a leader and still meet its objective: the
// objective minus the declared duration of its critical path.
func (n *Control) leaderWaitLimit(j *job.Job) clock.Millis {
	q := n.desired.Queue(j.Queue)
	if q == nil {
		return 0
	}
	criticalPath := j.CriticalPath(func(s *job.Step) clock.Millis { return s.Estimate })
	return q.Objective(criticalPath) - criticalPath
}

func (n *Control) handlePeerSubmitted(e PeerSubmitted) {
	if n.ledShards[e.Shard] == nil {
		e.Ended <- job.Refused{Reason: job.NotLeader, RetryAfter: clock.Second}
		return
	}
	if n.isCancelled(&e.Submission.Job) {
		e.Ended <- job.Cancelled{}
		return
	}
	if e.Submission.Expires != 0 && n.now > e.Submission.Expires {
		// A link has held the message up. A later one may be waiting for the outcome.
		e.Ended <- job.Refused{Reason: job.LateMessage, RetryAfter: clock.Second}
		return
	}
	n.peers[e.Submission.Key] = e.Ended
	n.sendToLeader(e.Shard, leader.Submitted{Submission: e.Submission})
}

// sendToLeader passes an event to the leader of a shard, if it is this VM, and applies the actions
// that result from it.
func (n *Control) sendToLeader(id shard.ID, e leader.Event) {
	led := n.ledShards[id]
	if led == nil {
		return
	}
	n.applyLeaderActions(id, led.id, led.leader.Handle(n.now, e))
}

func (n *Control) applyLeaderActions(id shard.ID, l LeadershipID, actions []leader.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leader.Start, leader.Stop, leader.Hold:
			if n.leads(id, l) {
				n.emit(LeaderAction{Shard: id, Leadership: l, Action: a})
			}
		case leader.Answer:
			n.deliverOutcome(id, a)
		case leader.Fenced:
			n.stepDown(id)
		case leader.RefreshList:
			n.emit(ReadEndpoints{})
		case leader.RefreshEvacuations:
			n.emit(ReadEvacuations{})
		case leader.DeadlyTaskFound:
			n.saveCrashes(id)
		case leader.LogDecision:
			n.emit(LogEvent{Topic: LeaderDecision, Shard: id, Job: a.Job, Decision: &a})
		}
	}
}

// deliverOutcome returns the outcome of a submission to the VM that sent it.
func (n *Control) deliverOutcome(id shard.ID, a leader.Answer) {
	if a.Key.Entry == n.config.Self.Incarnation {
		n.gateway.HandleAnswer(a.Key, gateway.Responder{Shard: id, VM: n.config.Self.Incarnation}, a.Outcome, n.now)
		return
	}
	if ended := n.peers[a.Key]; ended != nil {
		ended <- a.Outcome
		delete(n.peers, a.Key)
	}
}

func (n *Control) handleVMsLoaded(vms []shard.VM) {
	n.vms, n.vmRecords = vms, make(map[vm.ID]shard.VM, len(vms))
	clear(n.candidates)
	for _, v := range vms {
		n.vmRecords[v.Incarnation.VM()] = v
	}
	for _, id := range n.shards {
		n.step(id)
	}
}

func (n *Control) handleDesiredStateLoaded(s *queue.State) {
	if n.desired != nil && s.Version <= n.desired.Version {
		return
	}
	n.desired, n.newerDesiredSince = s, n.now
	n.emit(LogEvent{Topic: DesiredStateApplied, Version: s.Version})
	for _, id := range n.shards {
		n.sendToLeader(id, leader.DesiredState{State: s})
	}
}
