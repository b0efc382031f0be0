package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// simulation runs the control state machines of several VMs on one manual clock, with simulated
// links, platform and endpoints that can fail.
type simulation struct {
	t         *testing.T
	now       clock.Millis
	nodes     []*simVM
	due       []dueCall
	waiter    WaiterID
	replies   map[WaiterID]func(Reply)
	rows      map[vm.Incarnation]vm.Row
	revision  vm.RowRevision
	pairs     map[contract.Pair]contract.PairRow
	endpoints []*simEndpoint
	// partitioned reports whether calls from one VM to another are lost.
	partitioned func(from, to vm.VM) bool
	// loseReply reports whether the replies of one VM to another are lost.
	loseReply func(from, to vm.VM) bool
	// offPlatform reports whether a data centre cannot reach the platform.
	offPlatform func(datacentre.ID) bool
	overcommits int
	maxInUse    datacentre.Slots
	submitted   int
	// attemptTimeout limits one send to an endpoint.
	attemptTimeout clock.Millis
}

type dueCall struct {
	at clock.Millis
	do func()
}

type simVM struct {
	vm          vm.VM
	control     *Control
	peers       PeerSnapshot
	down        bool
	hung        bool
	inFlight    map[vm.Incarnation]int
	maxInFlight int
	sent        int
}

type simEndpoint struct {
	datacentre.Endpoint
	leaving bool
	listed  listState
	running datacentre.Slots
	runTime clock.Millis
	started int
	// lastStart is when a task last started.
	lastStart clock.Millis
	refused   int
}

type listState int

const (
	listedActive listState = iota
	listedLeaving
	unlisted
)

func newSimulation(t *testing.T, vmsIn map[datacentre.ID]int, endpointsEach int) *simulation {
	return newSimulationWith(t, vmsIn, endpointsEach, 30*clock.Second)
}

func newSimulationWith(t *testing.T, vmsIn map[datacentre.ID]int, endpointsEach int, attemptTimeout clock.Millis) *simulation {
	s := &simulation{
		t: t,

		attemptTimeout: attemptTimeout,
		replies:        make(map[WaiterID]func(Reply)),
		pairs:          make(map[contract.Pair]contract.PairRow),
		rows:           make(map[vm.Incarnation]vm.Row),
		loseReply:      func(_, _ vm.VM) bool { return false },
		partitioned:    func(_, _ vm.VM) bool { return false },
		offPlatform:    func(datacentre.ID) bool { return false },
	}
	for _, dc := range []datacentre.ID{"centro", "norte", "sur", "oeste"} {
		for i := range vmsIn[dc] {
			s.boot(vm.ID(fmt.Sprintf("%s%d", dc, i)), dc)
		}
		for i := range endpointsEach * min(1, vmsIn[dc]) {
			s.endpoints = append(s.endpoints, &simEndpoint{runTime: 200, Endpoint: datacentre.Endpoint{
				ID: datacentre.EndpointID(fmt.Sprintf("e-%s-%d", dc, i)), DataCentre: dc, Address: fmt.Sprintf("%s:%d", dc, i), Slots: 8, Connections: 64,
			}})
		}
	}
	return s
}

// boot starts an incarnation of a VM and stops an earlier one with the same name.
func (s *simulation) boot(id vm.ID, dc datacentre.ID) *simVM {
	nonce := 0
	for _, n := range s.nodes {
		if n.vm.Incarnation.VM() == id {
			n.down = true
			nonce++
		}
	}
	v := vm.VM{Incarnation: vm.NewIncarnation(id, fmt.Sprint(nonce)), DataCentre: dc, PeerAddress: string(id) + ":7001", Size: 1, Started: s.now}
	n := &simVM{vm: v, inFlight: make(map[vm.Incarnation]int)}
	n.control = NewControl(ControlConfig{
		DataCentre: dc, Self: v.Incarnation, VM: v, Now: s.now, Key: []byte(v.Incarnation),
		Dispatch: dispatch.Config{MaxQueuedTasks: 10000}, AttemptTimeout: s.attemptTimeout,
	})
	s.nodes = append(s.nodes, n)
	s.handle(n, OwnersChanged{Owners: []owner.Owner{{ID: "ads", Share: 1, Classes: []owner.Class{{Name: "swap", Deadline: clock.Minute}}, Limits: owner.Limits{TasksPerJob: 10000, QueuedTasks: 10000}}}})
	return n
}

func (s *simulation) node(id vm.ID) *simVM {
	i := slices.IndexFunc(s.nodes, func(n *simVM) bool { return n.vm.Incarnation.VM() == id && !n.down })
	if i < 0 {
		s.t.Fatalf("no VM %s is up", id)
	}
	return s.nodes[i]
}

// run advances the time in steps of 1 ms, with a tick on each VM every 50 ms.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		for i := 0; i < len(s.due); {
			if s.due[i].at > s.now {
				i++
				continue
			}
			d := s.due[i]
			s.due = slices.Delete(s.due, i, i+1)
			d.do()
		}
		for i, n := range s.nodes {
			if n.down {
				continue
			}
			if s.now%50 == 0 {
				s.handle(n, Tick{})
			}
			if (s.now+clock.Millis(i)*37)%clock.Second == 0 && !s.offPlatform(n.vm.DataCentre) {
				s.poll(n)
			}
		}
	}
}

func (s *simulation) after(duration clock.Millis, do func()) {
	s.due = append(s.due, dueCall{at: s.now + duration, do: do})
}

func (s *simulation) poll(n *simVM) {
	old, ok := s.rows[n.vm.Incarnation]
	if !ok || s.now/vm.RowRefreshInterval != (s.now-clock.Second)/vm.RowRefreshInterval || old.Revision == 0 {
		s.revision++
		s.rows[n.vm.Incarnation] = vm.Row{VM: n.vm, Revision: s.revision}
	}
	var rows []vm.Row
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	s.handle(n, RowsRead{Rows: rows, RequestedAt: s.now})
	var listed EndpointsListed
	for _, e := range s.endpoints {
		switch {
		case e.DataCentre != n.vm.DataCentre || e.listed == unlisted:
		case e.listed == listedLeaving:
			listed.Leaving = append(listed.Leaving, e.ID)
		default:
			listed.Endpoints = append(listed.Endpoints, e.Endpoint)
		}
	}
	s.handle(n, listed)
}

func (s *simulation) handle(n *simVM, e Event) {
	if n.down {
		return
	}
	for _, a := range slices.Clone(n.control.Handle(s.now, e)) {
		s.execute(n, a)
	}
}

func (s *simulation) execute(n *simVM, a Action) {
	switch a := a.(type) {
	case ReplyTo:
		if reply, ok := s.replies[a.Waiter]; ok {
			delete(s.replies, a.Waiter)
			reply(a.Reply)
		}
	case PublishPeers:
		n.peers = a.Peers
	case DeleteRow:
		if s.rows[a.Row.VM.Incarnation].Revision == a.Row.Revision {
			delete(s.rows, a.Row.VM.Incarnation)
		}
	case SendHeartbeat:
		n.sent++
		n.inFlight[a.To.Incarnation]++
		n.maxInFlight = max(n.maxInFlight, n.inFlight[a.To.Incarnation])
		s.call(n, a.To, func(w WaiterID) Event { return HeartbeatReceived{Waiter: w, Heartbeat: a.Heartbeat} }, func(r Reply) {
			n.inFlight[a.To.Incarnation]--
			reply, ok := r.(HeartbeatReply)
			if !ok {
				s.handle(n, HeartbeatFailed{To: a.To})
				return
			}
			s.handle(n, HeartbeatAnswered{To: a.To, Answered: reply.Incarnation, RoundTripMicros: 2000, ReportedUpTo: a.reportedUpTo})
		})
	case SendRecords:
		s.call(n, a.Witness, func(w WaiterID) Event {
			return RecordsReceived{Waiter: w, Issuer: n.vm.Incarnation, Batch: a.Batch, Records: a.Records}
		}, func(r Reply) {
			reply, _ := r.(RecordsReply)
			s.handle(n, RecordsAnswered{Witness: a.Witness.Incarnation, Batch: a.Batch, Statuses: reply.Statuses})
		})
	case SendHandOver:
		s.call(n, a.Witness, func(w WaiterID) Event {
			return HandOverReceived{Waiter: w, Issuer: n.vm.Incarnation, Records: a.Records, Last: a.Last}
		}, func(r Reply) {
			s.handle(n, HandOverAnswered{Witness: a.Witness.Incarnation, Accepted: r != nil})
		})
	case WritePairRow:
		row := contract.PairRowUnknown
		if !s.offPlatform(n.vm.DataCentre) {
			if _, ok := s.pairs[a.Pair]; !ok {
				s.pairs[a.Pair] = a.Row
			}
			row = s.pairs[a.Pair]
		}
		s.after(5, func() { s.handle(n, PairRowDecided{Pair: a.Pair, Row: row}) })
	case RequestLoan:
		s.call(n, a.To, func(w WaiterID) Event { return LoanRequested{Waiter: w, Request: a.Request} }, func(r Reply) {
			reply, ok := r.(LoansGranted)
			if !ok {
				s.handle(n, LoanFailed{Lender: a.To.Incarnation, Request: a.Request.ID})
				return
			}
			s.handle(n, LoanAnswered{Lender: a.To.Incarnation, Request: a.Request.ID, RequestedAt: a.RequestedAt, Grant: reply.Grant})
		})
	case ReturnLoans:
		s.call(n, a.To, func(w WaiterID) Event {
			return LoansReturned{Waiter: w, Borrower: n.vm.Incarnation, Returns: a.Returns}
		}, func(r Reply) {
			if _, ok := r.(LoanReturnsHandled); ok {
				s.handle(n, LoansAcknowledged{Returns: a.Returns})
			}
		})
	case RunAttempt:
		s.attempt(n, a)
	}
}

// call delivers a call to the VM at an address and its reply back, 1 ms each way. Without a
// reply the call ends with nil after its time limit of 1 s.
func (s *simulation) call(from *simVM, to vm.VM, event func(WaiterID) Event, done func(Reply)) {
	s.waiter++
	w := s.waiter
	ended := false
	end := func(r Reply) {
		if !ended {
			ended = true
			done(r)
		}
	}
	s.after(clock.Second, func() { end(nil) })
	s.after(1, func() {
		i := slices.IndexFunc(s.nodes, func(n *simVM) bool { return n.vm.PeerAddress == to.PeerAddress && !n.down })
		if i < 0 || s.nodes[i].hung || from.hung || s.partitioned(from.vm, s.nodes[i].vm) {
			return
		}
		target := s.nodes[i]
		s.replies[w] = func(r Reply) {
			s.after(1, func() {
				if !s.loseReply(target.vm, from.vm) {
					end(r)
				}
			})
		}
		s.handle(s.nodes[i], event(w))
	})
}

func (s *simulation) attempt(n *simVM, a RunAttempt) {
	end := func(duration clock.Millis, r contract.AttemptResult) {
		s.after(duration, func() { s.handle(n, AttemptEnded{Attempt: a.Attempt, Start: a.Start, Result: r}) })
	}
	i := slices.IndexFunc(s.endpoints, func(e *simEndpoint) bool { return e.ID == a.Endpoint.ID })
	if i < 0 {
		end(1, contract.NotStarted{Cause: contract.EndpointUnreachable})
		return
	}
	e := s.endpoints[i]
	switch {
	case e.leaving:
		e.refused++
		end(2, contract.NotStarted{Cause: contract.EndpointLeaving})
	case e.running >= e.Slots:
		s.overcommits++
		end(2, contract.NotStarted{Cause: contract.EndpointBusy})
	default:
		e.running++
		e.started++
		e.lastStart = s.now
		s.maxInUse = max(s.maxInUse, e.running)
		s.after(e.runTime, func() { e.running-- })
		end(e.runTime, contract.Succeeded{Result: []byte("ok")})
	}
}

// submit runs a job at a VM and returns the variable that receives its answer.
func (s *simulation) submit(n *simVM, tasks int) *contract.Answer {
	return s.submitFor(n, "ads", tasks)
}

func (s *simulation) submitFor(n *simVM, o owner.ID, tasks int) *contract.Answer {
	var answer contract.Answer
	s.submitted += tasks
	s.waiter++
	s.replies[s.waiter] = func(r Reply) {
		sub := contract.Submission{ID: r.(ReservedIDs).IDs[0], Owner: o, Kind: "swap", Class: "swap", Deadline: clock.Minute, Tasks: make([]contract.Task, tasks)}
		s.waiter++
		s.replies[s.waiter] = func(r Reply) { answer = r.(AnswerReply).Answer }
		s.handle(n, Submitted{Waiter: s.waiter, Submission: sub, Wait: true})
	}
	s.handle(n, ReserveIDs{Waiter: s.waiter, Owner: o, Count: 1})
	return &answer
}

// reserve returns a new id of a VM.
func (s *simulation) reserve(n *simVM) contract.SubmissionID {
	var id contract.SubmissionID
	s.waiter++
	s.replies[s.waiter] = func(r Reply) { id = r.(ReservedIDs).IDs[0] }
	s.handle(n, ReserveIDs{Waiter: s.waiter, Owner: "ads", Count: 1})
	return id
}

// alive counts the VMs of a data centre that are alive in a VM's roster.
func (n *simVM) alive(dc datacentre.ID) int {
	count := 0
	for _, v := range n.control.roster.VMs() {
		if v.DataCentre == dc && v.Status == vm.Alive {
			count++
		}
	}
	return count
}
