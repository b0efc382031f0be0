package leader

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// world has endpoints as the platform describes them, homes that give them orders, and a
// manual clock. Messages take a millisecond each way unless a fault says otherwise.
type world struct {
	t       testing.TB
	random  *rand.Rand
	now     clock.Millis
	pending []message
	order   int

	endpoints map[datacentre.EndpointID]*fakeEndpoint
	inOrder   []*fakeEndpoint
	homes     map[int]*fakeHome
	outcomes  map[job.Key]job.Outcome
	endedAt   map[job.Key]clock.Millis
	// mostRuns is the highest number of simultaneous runs of one task.
	mostRuns int
	starts   map[job.TaskName]int
	// events counts what homes were told, and spent is how long they took over it.
	events int
	spent  time.Duration
	notes  map[Decision]int
	// takes is how long a run of a task takes at speed 1.
	takes func(job.TaskName) clock.Millis
	// fault decides what becomes of an order; the default delivers it.
	fault func(home int, e datacentre.EndpointID, a Action) delivery
}

// delivery says what becomes of an order and of its answer.
type delivery struct {
	lost       bool
	later      clock.Millis
	answerLost bool
	// answerLater is by how much the answer is late; only starts have such answers.
	answerLater clock.Millis
}

type message struct {
	at    clock.Millis
	order int
	run   func()
}

type fakeHome struct {
	home *Leader
	// frozen holds back all events of the home until then.
	frozen clock.Millis
	gone   bool
	fenced bool
}

type fakeRun struct {
	name     job.TaskName
	run      job.Attempt
	began    clock.Millis
	ends     clock.Millis
	stopping bool
	stalled  bool
}

type fakeEndpoint struct {
	endpoint.Endpoint
	speed  float64
	skew   clock.Millis
	token  shard.Token
	until  clock.Millis
	runs   map[job.TaskName]*fakeRun
	past   map[job.TaskName]job.Attempt
	ended  []endpoint.EndedAttempt
	number endpoint.EndNumber
	down   bool
	// failing makes every run fail at once, stalling makes every run stand still.
	failing, stalling bool
}

const (
	testService = "playout"
	testQueue   = "swap"
	stopSpan    = clock.Millis(50)
	hop         = clock.Millis(1)
	startSlow   = clock.Millis(30)
	startLimit  = clock.Millis(300)
	orderLimit  = clock.Millis(80)
)

func testState() *queue.State {
	return queue.NewState(1, []queue.Queue{
		{Name: testQueue, Host: "h", Path: "/q/", Service: testService, MaxAttempts: 3, Stretch: 1.6, Allowance: 60},
	}, map[queue.ServiceName]queue.Service{testService: {Name: testService, GuardsRoom: true}}, queue.Limits{})
}

func testTimes() Timeouts { return DefaultTimeouts(1000, stopSpan, 1300) }

func newWorld(t testing.TB, seed uint64, endpoints int) *world {
	t.Helper()
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000,
		endpoints: make(map[datacentre.EndpointID]*fakeEndpoint), homes: make(map[int]*fakeHome),
		outcomes: make(map[job.Key]job.Outcome), endedAt: make(map[job.Key]clock.Millis),
		starts: make(map[job.TaskName]int), notes: make(map[Decision]int),
		takes: func(job.TaskName) clock.Millis { return 50 },
		fault: func(int, datacentre.EndpointID, Action) delivery { return delivery{} },
	}
	for i := range endpoints {
		id := datacentre.EndpointID(fmt.Sprintf("e%02d", i))
		w.endpoints[id] = &fakeEndpoint{
			Endpoint: endpoint.Endpoint{
				ID: id, Born: 1, Service: testService, DataCentre: "centro", Address: string(id),
				Capacity: job.Resources{CPU: 32000, Memory: 1 << 17}, Labels: []string{"a", "r1"}, Rack: "r1",
			},
			speed: 1, skew: clock.Millis(w.random.IntN(100000)),
			runs: make(map[job.TaskName]*fakeRun), past: make(map[job.TaskName]job.Attempt),
		}
		w.inOrder = append(w.inOrder, w.endpoints[id])
	}
	return w
}

// addHome makes a home with the token, which hears of all endpoints.
func (w *world) addHome(n int, token shard.Token) *fakeHome {
	f := &fakeHome{home: New(Config{Shard: "centro", Token: token, Timeouts: testTimes(), FarFactor: 1.5, Desired: testState(), Now: w.now})}
	w.homes[n] = f
	w.tell(n, EndpointsListed{Endpoints: w.listed(), Complete: true})
	w.tick(n)
	return f
}

func (w *world) listed() []endpoint.Endpoint {
	var all []endpoint.Endpoint
	for _, e := range w.inOrder {
		all = append(all, e.Endpoint)
	}
	return all
}

func (w *world) after(span clock.Millis, run func()) {
	w.order++
	m := message{at: w.now + span, order: w.order, run: run}
	at, _ := slices.BinarySearchFunc(w.pending, m, func(a, b message) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.order, a.order))
	})
	w.pending = slices.Insert(w.pending, at, m)
}

// advance lets time pass and delivers what is due, in order. The next message is the last.
func (w *world) advance(span clock.Millis) {
	end := w.now + span
	for len(w.pending) > 0 {
		m := w.pending[len(w.pending)-1]
		if m.at > end {
			break
		}
		w.pending = w.pending[:len(w.pending)-1]
		w.now = max(w.now, m.at)
		w.settleAll()
		m.run()
		w.countRuns()
	}
	w.now = end
	w.settleAll()
}

func (w *world) tick(n int) {
	f := w.homes[n]
	if f.gone || f.fenced {
		return
	}
	w.tell(n, Tick{})
	w.after(10, func() { w.tick(n) })
}

// tell hands an event to a home and carries out what it wants done.
func (w *world) tell(n int, e Event) {
	f := w.homes[n]
	if f.gone || f.fenced {
		return
	}
	if w.now < f.frozen {
		w.after(f.frozen-w.now, func() { w.tell(n, e) })
		return
	}
	from := time.Now()
	actions := f.home.Handle(w.now, e)
	w.events++
	w.spent += time.Since(from)
	for _, a := range actions {
		w.carryOut(n, a)
	}
}

func (w *world) carryOut(n int, a Action) {
	switch a := a.(type) {
	case Start:
		w.starts[a.Task]++
		w.send(n, a.Endpoint.ID, a, func(e *fakeEndpoint) Event {
			result, at := w.start(e, a)
			return StartEnded{Endpoint: e.ID, Task: a.Task, Attempt: a.Attempt, Result: result, Clock: at}
		}, 0, StartEnded{Endpoint: a.Endpoint.ID, Task: a.Task, Attempt: a.Attempt, Result: endpoint.NoAnswer{}})
	case Stop:
		w.send(n, a.Endpoint.ID, a, func(e *fakeEndpoint) Event {
			return StopEnded{Endpoint: e.ID, Task: a.Task, Attempt: a.Attempt, Acknowledged: w.stop(e, a)}
		}, 0, StopEnded{Endpoint: a.Endpoint.ID, Task: a.Task, Attempt: a.Attempt})
	case Hold:
		w.hold(n, a)
	case Answer:
		w.outcomes[a.Key], w.endedAt[a.Key] = a.Outcome, w.now
	case Fenced:
		w.homes[n].fenced = true
		for _, a := range w.homes[n].home.StepDown(w.now) {
			w.carryOut(n, a)
		}
	case LogDecision:
		w.notes[a.Decision]++
	}
}

// send delivers an order, or lets the home wait in vain.
func (w *world) send(n int, id datacentre.EndpointID, a Action, do func(*fakeEndpoint) Event, wait clock.Millis, unanswered Event) {
	d := w.fault(n, id, a)
	e := w.endpoints[id]
	answered := d.later == 0 && !d.answerLost && !d.lost
	limit := orderLimit + wait
	if s, ok := a.(Start); ok {
		limit = startLimit
		if !answered || d.answerLater > 0 {
			w.after(startSlow, func() { w.tell(n, StartSlow{Endpoint: id, Task: s.Task, Attempt: s.Attempt}) })
		}
	}
	if !answered {
		w.after(limit, func() { w.tell(n, unanswered) })
	}
	if d.lost {
		return
	}
	w.after(hop+d.later, func() {
		if e.down {
			if answered {
				w.after(limit, func() { w.tell(n, unanswered) })
			}
			return
		}
		answer := do(e)
		if !answered {
			return
		}
		if wait > 0 {
			w.waitForEnd(n, e, wait, func() { w.after(hop, func() { w.tell(n, do(e)) }) })
			return
		}
		w.after(hop+d.answerLater, func() { w.tell(n, answer) })
	})
}

// waitForEnd answers a hold once a run has ended, or after the wait.
func (w *world) waitForEnd(n int, e *fakeEndpoint, left clock.Millis, answer func()) {
	if left <= 0 || len(e.ended) > 0 {
		answer()
		return
	}
	w.after(4, func() { w.waitForEnd(n, e, left-4, answer) })
}

func (w *world) hold(n int, a Hold) {
	w.send(n, a.Endpoint.ID, a, func(e *fakeEndpoint) Event {
		ended := HoldEnded{Endpoint: e.ID, Kind: a.Kind, Sequence: a.Sequence}
		if a.Token < e.token {
			ended.Rejection = HoldFenced
			return ended
		}
		e.token = a.Token
		e.ended = slices.DeleteFunc(e.ended, func(r endpoint.EndedAttempt) bool { return r.Number <= a.Acked })
		if a.LeaseUntil != 0 {
			e.until = max(e.until, min(clock.Millis(a.LeaseUntil)-e.skew, w.now+1000))
		}
		ended.Report = w.look(e)
		return ended
	}, a.Wait, HoldEnded{Endpoint: a.Endpoint.ID, Kind: a.Kind, Sequence: a.Sequence})
}

func (w *world) look(e *fakeEndpoint) *endpoint.StatusReport {
	l := &endpoint.StatusReport{Incarnation: e.Born, Clock: endpoint.Clock(w.now + e.skew), Ended: slices.Clone(e.ended)}
	for _, r := range e.runs {
		percent := 0
		if !r.stalled && r.ends > r.began {
			percent = int(100 * (w.now - r.began) / (r.ends - r.began))
		}
		l.Active = append(l.Active, endpoint.ActiveAttempt{Task: r.name, Attempt: r.run, Percent: percent})
	}
	slices.SortFunc(l.Active, func(a, b endpoint.ActiveAttempt) int { return cmp.Compare(a.Task, b.Task) })
	return l
}

func (w *world) start(e *fakeEndpoint, a Start) (endpoint.StartResult, endpoint.Clock) {
	at := endpoint.Clock(w.now + e.skew)
	if a.Token < e.token {
		return endpoint.Rejected{Reason: endpoint.RejectedFenced}, at
	}
	e.token = a.Token
	until := min(clock.Millis(a.LeaseUntil)-e.skew, w.now+1000)
	if until <= w.now {
		return endpoint.Rejected{Reason: endpoint.RejectedExpired}, at
	}
	e.until = max(e.until, until)
	if r := e.runs[a.Task]; r != nil && r.run == a.Attempt {
		return endpoint.Started{}, at
	}
	if e.past[a.Task] >= a.Attempt {
		return endpoint.Rejected{Reason: endpoint.RejectedStale}, at
	}
	if len(e.runs) >= 2 {
		return endpoint.Rejected{Reason: endpoint.RejectedNoCapacity}, at
	}
	e.past[a.Task] = a.Attempt
	r := &fakeRun{name: a.Task, run: a.Attempt, began: w.now, stalled: e.stalling}
	r.ends = w.now + clock.Millis(float64(w.takes(a.Task))/e.speed)
	if e.failing {
		r.ends = w.now + 1
	}
	e.runs[a.Task] = r
	return endpoint.Started{}, at
}

func (w *world) stop(e *fakeEndpoint, a Stop) bool {
	if a.Token < e.token {
		return false
	}
	e.token = a.Token
	e.past[a.Task] = max(e.past[a.Task], a.Attempt)
	if r := e.runs[a.Task]; r != nil && r.run <= a.Attempt && !r.stopping {
		r.stopping, r.stalled = true, false
		r.ends = min(r.ends, w.now+stopSpan)
	}
	return true
}

// settleAll ends the runs that are over.
func (w *world) settleAll() {
	for _, e := range w.inOrder {
		if len(e.runs) == 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(e.runs)) {
			r := e.runs[name]
			how := endpoint.EndDone
			switch {
			case e.down:
				delete(e.runs, name)
				continue
			case w.now >= e.until:
				how = endpoint.EndExpired
			case r.stalled || w.now < r.ends:
				continue
			case r.stopping:
				how = endpoint.EndStopped
			case e.failing:
				how = endpoint.EndFailed
			}
			delete(e.runs, name)
			e.number++
			e.ended = append(e.ended, endpoint.EndedAttempt{Number: e.number, Task: name, Attempt: r.run, End: how})
		}
	}
}

func (w *world) countRuns() {
	runs := make(map[job.TaskName]int)
	for _, e := range w.inOrder {
		for name := range e.runs {
			runs[name]++
			if runs[name] > w.mostRuns {
				w.mostRuns = runs[name]
			}
		}
	}
}

// crash ends a life of an endpoint; it comes back at once with nothing.
func (e *fakeEndpoint) crash() {
	e.Born++
	e.runs, e.past = make(map[job.TaskName]*fakeRun), make(map[job.TaskName]job.Attempt)
	e.ended, e.number, e.token, e.until = nil, 0, 0, 0
}

// submission makes a job of n tasks of half an endpoint each.
func submission(entry vm.Incarnation, seq uint64, n int) job.Submission {
	return job.Submission{
		Key: job.Key{Entry: entry, Seq: seq},
		Job: job.Job{
			ID: job.ID(fmt.Sprintf("%016x", seq)), Queue: testQueue,
			Steps: []job.Step{{Tasks: n, Demand: job.Resources{CPU: 14000, Memory: 64}, Estimate: 50}},
		},
		Limit: 3 * clock.Second,
	}
}

// interest keeps an entry VM's jobs wanted by a home until the world stops.
func (w *world) interest(n int, entry vm.Incarnation, seqs ...uint64) {
	last := uint64(0)
	if len(seqs) > 0 {
		last = slices.Max(seqs)
	}
	w.tell(n, JobLeasesRenewed{Entry: entry, Sent: w.now, Waiting: seqs, LastSeq: last})
	if !w.homes[n].gone && !w.homes[n].fenced {
		w.after(100, func() { w.interest(n, entry, seqs...) })
	}
}

func outcomeOf(o job.Outcome) string {
	if r, ok := o.(job.Refused); ok {
		return "refused " + string(r.Reason)
	}
	if r, ok := o.(job.Stopped); ok {
		return "stopped " + string(r.Reason)
	}
	return fmt.Sprintf("%T", o)
}
