package entry

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	testOwner = owner.ID("pantallas")
	callLimit = clock.Second
	testStart = 1000 * clock.Minute
)

// cluster connects several Controls through a fake network, endpoints and platform on one
// manual clock. Deliveries happen in the order of their times.
type cluster struct {
	t        *testing.T
	now      clock.Millis
	rng      *rand.Rand
	nodes    []*node
	queue    []delivery
	sequence int

	rows         map[contract.Pair]contract.PairRow
	platformDown bool
	loseAnswers  bool
	partitions   map[[2]vm.Incarnation]bool
	// faults is the fraction of peer messages that are dropped, delayed or duplicated.
	faults float64

	starts     map[string]int
	running    int
	runTime    func() clock.Millis
	result     func() contract.AttemptResult
	answers    map[contract.SubmissionID][]contract.Answer
	taskCounts map[contract.SubmissionID]int
}

type delivery struct {
	at       clock.Millis
	sequence int
	run      func()
}

// node is one entry VM of the cluster.
type node struct {
	cluster *cluster
	vm      vm.VM
	control *Control
	crashed bool
	paused  bool
	// sending is false while the VM is stopped between a decision and its action.
	sending bool
	events  []Event
	actions []Action
	waiters map[WaiterID]func(Reply)
	lastID  WaiterID
	// attempts are the results of all attempts, so that tests can send duplicates.
	attempts []AttemptEnded
}

func newCluster(t *testing.T, names ...vm.ID) *cluster {
	cl := &cluster{
		t: t, now: testStart, rng: rand.New(rand.NewPCG(1, 1)),
		rows: map[contract.Pair]contract.PairRow{}, partitions: map[[2]vm.Incarnation]bool{},
		starts: map[string]int{}, answers: map[contract.SubmissionID][]contract.Answer{},
		taskCounts: map[contract.SubmissionID]int{},
		runTime:    func() clock.Millis { return 100 },
		result:     func() contract.AttemptResult { return contract.Succeeded{Result: []byte("r")} },
	}
	for i, name := range names {
		n := &node{cluster: cl, sending: true, waiters: map[WaiterID]func(Reply){}}
		n.vm = vm.VM{Incarnation: vm.NewIncarnation(name, "1"), DataCentre: "dc" + datacentre.ID(strconv.Itoa(i/2)), Size: 1}
		n.control = NewControl(ControlConfig{
			DataCentre: n.vm.DataCentre, Self: n.vm.Incarnation, Key: []byte(name),
			Dispatch: dispatch.Config{MaxQueuedTasks: 1000}, AttemptTimeout: 30 * clock.Second,
		})
		cl.nodes = append(cl.nodes, n)
	}
	cl.publishRoster()
	for _, n := range cl.nodes {
		n.handle(OwnersChanged{Owners: []owner.Owner{{ID: testOwner, Share: 1, Classes: []owner.Class{{Name: "any", Deadline: clock.Minute}}}}})
		n.handle(EndpointsListed{Endpoints: []datacentre.Endpoint{{ID: "e-" + datacentre.EndpointID(n.vm.Incarnation), DataCentre: n.vm.DataCentre, Slots: nodeSlots}}})
		// The endpoint is used only by this node, independent of the rendezvous hash.
		n.control.scheduler.SetSlots(cl.now, "e-"+datacentre.EndpointID(n.vm.Incarnation), nodeSlots)
	}
	return cl
}

// nodeSlots is the number of slots of each node's endpoint. A kind of task without an estimate
// may use half of them.
const nodeSlots = 8

func (cl *cluster) publishRoster() {
	var vms []vm.VM
	for _, n := range cl.nodes {
		if !n.crashed {
			vms = append(vms, n.vm)
		}
	}
	for _, n := range cl.nodes {
		n.handle(RosterChanged{Roster: vm.NewRoster(vm.RosterConfig{Self: n.vm.Incarnation, VMs: vms})})
		n.control.scheduler.SetSlots(cl.now, "e-"+datacentre.EndpointID(n.vm.Incarnation), nodeSlots)
	}
}

func (cl *cluster) after(duration clock.Millis, run func()) {
	cl.sequence++
	d := delivery{at: cl.now + duration, sequence: cl.sequence, run: run}
	i, _ := slices.BinarySearchFunc(cl.queue, d, func(a, b delivery) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.sequence - b.sequence
	})
	cl.queue = slices.Insert(cl.queue, i, d)
}

// advance advances the time, with a tick on each VM every 50 ms.
func (cl *cluster) advance(duration clock.Millis) {
	end := cl.now + duration
	for cl.now < end {
		next := min(end, cl.now+50)
		for len(cl.queue) > 0 && cl.queue[0].at <= next {
			d := cl.queue[0]
			cl.queue = cl.queue[1:]
			cl.now = max(cl.now, d.at)
			d.run()
		}
		cl.now = next
		for _, n := range cl.nodes {
			n.handle(Tick{})
		}
	}
}

func (cl *cluster) node(i vm.Incarnation) *node {
	for _, n := range cl.nodes {
		if n.vm.Incarnation == i {
			return n
		}
	}
	return nil
}

func (cl *cluster) setPartition(a, b *node, on bool) {
	cl.partitions[[2]vm.Incarnation{a.vm.Incarnation, b.vm.Incarnation}] = on
	cl.partitions[[2]vm.Incarnation{b.vm.Incarnation, a.vm.Incarnation}] = on
}

// transmit delivers a message over the network, unless it is lost.
func (cl *cluster) transmit(from, to vm.Incarnation, deliver func()) {
	copies, delay := 1, clock.Millis(1)
	if cl.faults > 0 && cl.rng.Float64() < cl.faults {
		copies, delay = cl.rng.IntN(3), clock.Millis(cl.rng.IntN(5000))
	}
	for range copies {
		cl.after(delay, func() {
			if !cl.partitions[[2]vm.Incarnation{from, to}] {
				deliver()
			}
		})
		delay = clock.Millis(1 + cl.rng.IntN(5000))
	}
}

// call sends an event to a peer and delivers its reply, or nil after the time limit.
func (cl *cluster) call(from *node, to vm.Incarnation, limit clock.Millis, makeEvent func(WaiterID) Event, done func(Reply)) {
	answered := false
	once := func(r Reply) {
		if !answered {
			answered = true
			done(r)
		}
	}
	if peer := cl.node(to); peer != nil {
		cl.transmit(from.vm.Incarnation, to, func() {
			peer.ask(makeEvent, func(r Reply) {
				cl.transmit(to, from.vm.Incarnation, func() { once(r) })
			})
		})
	}
	cl.after(limit, func() { once(nil) })
}

func (n *node) ask(makeEvent func(WaiterID) Event, done func(Reply)) {
	n.lastID++
	n.waiters[n.lastID] = done
	n.handle(makeEvent(n.lastID))
}

func (n *node) handle(e Event) {
	if n.crashed {
		return
	}
	if n.paused {
		n.events = append(n.events, e)
		return
	}
	n.execute(slices.Clone(n.control.Handle(n.cluster.now, e)))
}

func (n *node) resume() {
	n.paused, n.sending = false, true
	actions, events := n.actions, n.events
	n.actions, n.events = nil, nil
	n.execute(actions)
	for _, e := range events {
		n.handle(e)
	}
}

func (n *node) execute(actions []Action) {
	for _, a := range actions {
		if !n.sending {
			n.actions = append(n.actions, a)
			continue
		}
		n.perform(a)
	}
}

func (n *node) perform(a Action) {
	cl, self := n.cluster, n.vm.Incarnation
	switch a := a.(type) {
	case ReplyTo:
		if done, ok := n.waiters[a.Waiter]; ok {
			delete(n.waiters, a.Waiter)
			done(a.Reply)
		}
	case RunAttempt:
		n.runAttempt(a)
	case SendRecords:
		cl.call(n, a.Witness.Incarnation, callLimit, func(id WaiterID) Event {
			return RecordsReceived{Waiter: id, Issuer: self, Batch: a.Batch, Records: a.Records}
		}, func(r Reply) {
			e := RecordsAnswered{Witness: a.Witness.Incarnation, Batch: a.Batch}
			if r, ok := r.(RecordsReply); ok {
				e.Statuses = r.Statuses
			}
			n.handle(e)
		})
	case SendHandOver:
		cl.call(n, a.Witness.Incarnation, callLimit, func(id WaiterID) Event {
			return HandOverReceived{Waiter: id, Issuer: self, Records: a.Records, Last: a.Last}
		}, func(r Reply) { n.handle(HandOverAnswered{Witness: a.Witness.Incarnation, Accepted: r != nil}) })
	case WritePairRow:
		cl.after(5, func() { n.writeRow(a) })
	}
}

func (n *node) writeRow(a WritePairRow) {
	cl := n.cluster
	if cl.platformDown {
		n.handle(PairRowDecided{Pair: a.Pair})
		return
	}
	if cl.rows[a.Pair] == contract.PairRowUnknown {
		cl.rows[a.Pair] = a.Row
	}
	if cl.loseAnswers {
		n.handle(PairRowDecided{Pair: a.Pair})
		return
	}
	n.handle(PairRowDecided{Pair: a.Pair, Row: cl.rows[a.Pair]})
}

func (n *node) runAttempt(a RunAttempt) {
	cl := n.cluster
	cl.after(1, func() {
		result := cl.result()
		if _, ok := result.(contract.NotStarted); !ok {
			cl.starts[startKey(a.Attempt.Submission, a.Attempt.Task)]++
		}
		cl.running++
		ended := AttemptEnded{Attempt: a.Attempt, Start: a.Start, Result: result}
		n.attempts = append(n.attempts, ended)
		cl.after(cl.runTime(), func() {
			cl.running--
			n.handle(ended)
		})
	})
}

func startKey(id contract.SubmissionID, task contract.TaskIndex) string {
	return id.String() + "/" + strconv.Itoa(int(task))
}

func (n *node) reserve() contract.SubmissionID {
	var id contract.SubmissionID
	n.ask(func(w WaiterID) Event { return ReserveIDs{Waiter: w, Owner: testOwner, Count: 1} }, func(r Reply) { id = r.(ReservedIDs).IDs[0] })
	return id
}

func job(id contract.SubmissionID, tasks int) contract.Submission {
	s := contract.Submission{ID: id, Owner: testOwner, Class: "any", Tasks: make([]contract.Task, tasks)}
	for i := range s.Tasks {
		s.Tasks[i].Payload = []byte("p")
	}
	return s
}

// submit submits through a VM the way the router does.
func (cl *cluster) submit(via *node, s contract.Submission) *contract.Answer {
	cl.taskCounts[s.ID] = len(s.Tasks)
	return cl.query(via, s.ID, func(id WaiterID) Event { return Submitted{Waiter: id, Submission: s} })
}

func (cl *cluster) ask(via *node, id contract.SubmissionID) *contract.Answer {
	return cl.query(via, id, func(waiter WaiterID) Event { return AnswerRequested{Waiter: waiter, ID: id, Owner: testOwner} })
}

func (cl *cluster) cancel(via *node, id contract.SubmissionID) *contract.Answer {
	return cl.query(via, id, func(waiter WaiterID) Event { return Cancelled{Waiter: waiter, ID: id, Owner: testOwner} })
}

// query asks the issuer, then the witness, then the VM itself, as Router does.
func (cl *cluster) query(via *node, id contract.SubmissionID, makeEvent func(WaiterID) Event) *contract.Answer {
	answer := new(contract.Answer)
	record := func(r Reply) {
		if r, ok := r.(AnswerReply); ok {
			*answer = r.Answer
			cl.answers[id] = append(cl.answers[id], r.Answer)
		}
	}
	orphan := func() {
		via.ask(func(waiter WaiterID) Event { return OrphanAnswerRequested{Waiter: waiter, ID: id} }, record)
	}
	witness := func() {
		cl.call(via, id.Witness, callLimit, func(waiter WaiterID) Event { return WitnessAnswerRequested{Waiter: waiter, ID: id, Owner: testOwner} }, func(r Reply) {
			if r == nil {
				orphan()
				return
			}
			record(r)
		})
	}
	cl.call(via, id.Issuer, callLimit, makeEvent, func(r Reply) {
		reply, ok := r.(AnswerReply)
		if _, undecided := reply.Answer.(contract.CannotTellYet); !ok || undecided {
			witness()
			return
		}
		record(r)
	})
	return answer
}
