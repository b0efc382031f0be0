package measure

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	tickInterval = 10_000 * micros(1)
	// A VM sends a digest to each peer every digestTicks ticks. Outside the simulation, digests are
	// part of the roster's heartbeats.
	digestTicks    = 10
	loanDuration   = 2 * second
	maxQueuedTasks = 20000
)

// cluster is the set of entry VMs, which run the scheduler of pkg/dispatch.
type cluster struct {
	simulation    *simulation
	vms           []*entryVM
	byIncarnation map[vm.Incarnation]*entryVM
	endpoints     map[datacentre.EndpointID]*endpoint
}

func newCluster(m *simulation, vms []vm.VM, random *rand.Rand) *cluster {
	c := &cluster{simulation: m, endpoints: make(map[datacentre.EndpointID]*endpoint), byIncarnation: make(map[vm.Incarnation]*entryVM)}
	now := m.queue.now.schedulerTime()
	for _, v := range vms {
		e := &entryVM{
			vm:        v,
			scheduler: dispatch.New(dispatch.Config{MaxQueuedTasks: maxQueuedTasks, Seed: random.Uint64()}),
			jobs:      make(map[contract.JobRef]*job),
			loans:     dispatch.NewLoanPlanner(),
			lenders:   make(map[datacentre.EndpointID]*entryVM),
		}
		e.scheduler.SetOwners(now, m.scenario.workload.Owners)
		c.vms = append(c.vms, e)
		c.byIncarnation[v.Incarnation] = e
	}
	c.listPeers()
	roster := vm.NewRoster(vm.RosterConfig{VMs: vms})
	for _, e := range m.endpoints {
		c.endpoints[e.id] = e
		if v, ok := roster.Home(e.id, e.dataCentre); ok {
			c.byIncarnation[v.Incarnation].scheduler.SetSlots(now, e.id, slotsPerEndpoint)
		}
	}
	return c
}

// listPeers lists the other VMs at each VM, those in the same data centre first.
func (c *cluster) listPeers() {
	for _, v := range c.vms {
		var remotePeers []vm.Incarnation
		for _, peer := range c.vms {
			switch {
			case peer == v:
			case peer.vm.DataCentre == v.vm.DataCentre:
				v.peers = append(v.peers, peer.vm.Incarnation)
			default:
				remotePeers = append(remotePeers, peer.vm.Incarnation)
			}
		}
		v.peers = append(v.peers, remotePeers...)
	}
}

func (c *cluster) start() {
	for i, v := range c.vms {
		c.simulation.queue.schedule(tickInterval*micros(i)/micros(len(c.vms)), vmTicks{vm: v})
	}
}

func (c *cluster) submit(j *job) {
	v := c.vms[j.vm]
	now := c.simulation.queue.now.schedulerTime()
	result := v.scheduler.Admit(now, dispatch.Job{
		Ref:      j.ref,
		Owner:    j.owner,
		Rank:     j.profile.Rank,
		Kind:     j.profile.Kind,
		Deadline: now + j.profile.Deadline,
		Tasks:    len(j.tasks),
	})
	if _, ok := result.(dispatch.Rejected); ok {
		j.refused = true
	} else {
		v.jobs[j.ref] = j
	}
	c.startTasks(v)
}

// startTasks sends the tasks that can start and requests loans for the others.
func (c *cluster) startTasks(v *entryVM) {
	m := c.simulation
	now := m.queue.now.schedulerTime()
	c.sendDeferredLoans(v)
	for {
		start, ok := v.scheduler.Next(now)
		if !ok {
			break
		}
		t := v.jobs[start.Task.Job].tasks[start.Task.Index]
		t.start, t.sender, t.endpoint = start, v, c.endpoints[start.Endpoint]
		// The start is recorded at a witness in the same data centre before the task is sent.
		m.queue.schedule(2*localDelay+m.delay(v.vm.DataCentre, t.endpoint.dataCentre), taskArrives{task: t})
	}
	c.recordDropped(v)
	c.requestLoans(v)
}

// recordDropped marks the jobs that the scheduler has dropped as refused or failed.
func (c *cluster) recordDropped(v *entryVM) {
	for {
		dropped, ok := v.scheduler.NextDropped()
		if !ok {
			return
		}
		switch d := dropped.(type) {
		case dispatch.Shed:
			v.jobs[d.Job].refused = true
		case dispatch.Unrunnable:
			v.jobs[d.Job].failed = true
		}
	}
}

func (c *cluster) handleAnswer(t *task, result outcome) {
	v, now := t.sender, c.simulation.queue.now.schedulerTime()
	switch result {
	case done:
		v.scheduler.Finish(now, t.start, contract.Succeeded{})
	case failed:
		v.scheduler.Finish(now, t.start, contract.RanAndFailed{Reason: "black hole"})
	case busy:
		v.scheduler.Finish(now, t.start, contract.NotStarted{Cause: contract.EndpointBusy})
	}
	for {
		l, ok := v.scheduler.NextReturn()
		if !ok {
			break
		}
		c.returnLoan(v, l)
	}
	c.startTasks(v)
}

// handle handles the events that only entry VMs have.
func (c *cluster) handle(e event) {
	now := c.simulation.queue.now.schedulerTime()
	switch e := e.(type) {
	case vmTicks:
		c.tick(e.vm)
	case digestArrives:
		e.to.scheduler.SetPeerUsage(now, e.from.vm.Incarnation, e.usage)
		e.to.loans.RecordReport(e.from.vm.Incarnation, e.slots)
		e.to.updatePeerLoad()
	case loanRequested:
		c.lend(e)
	case loanGranted:
		c.borrow(e)
	case loanExpires:
		c.expire(e)
	case loanReturned:
		e.to.scheduler.Reclaim(now, e.loan)
		c.startTasks(e.to)
	}
}

func (c *cluster) tick(v *entryVM) {
	now := c.simulation.queue.now.schedulerTime()
	v.scheduler.Tick(now)
	for _, l := range v.scheduler.ReturnIdle(now) {
		c.returnLoan(v, l)
	}
	v.ticks++
	if v.ticks%digestTicks == 0 {
		usage, slots := v.scheduler.Usage(), v.scheduler.SlotReport()
		for _, peer := range c.vms {
			if peer != v {
				c.simulation.queue.schedule(c.delay(v, peer), digestArrives{from: v, to: peer, usage: usage, slots: slots})
			}
		}
	}
	c.startTasks(v)
	c.simulation.queue.schedule(tickInterval, vmTicks{vm: v})
}

func (c *cluster) delay(a, b *entryVM) micros {
	return c.simulation.delay(a.vm.DataCentre, b.vm.DataCentre)
}
