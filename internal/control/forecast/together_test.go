package forecast

import (
	"math/rand/v2"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// placeOneByOne places tasks as Place does, each by itself.
func (r *Room) placeOneByOne(t *Tasks) Placement {
	p := Placement{}
	one := *t
	one.Count = 1
	var placed []reservation
	for range t.Count {
		o := r.Place(&one)
		if o.InTime == 0 {
			break
		}
		p.Now, p.InTime = p.Now+o.Now, p.InTime+1
		if o.Last.At >= p.Last.At {
			p.Last = o.Last
		}
		placed = append(placed, r.placed...)
	}
	if r.placed = placed; p.InTime < t.Count {
		for _, s := range placed {
			s.endpoint.change(s.from, s.demand)
			s.endpoint.change(s.until, negative(s.demand))
		}
		r.placed = r.placed[:0]
	}
	return p
}

// randomRoom has endpoints of several kinds, with attempts that run there.
func randomRoom(random *rand.Rand, r *Room) {
	r.Reset(testNow)
	for range 1 + random.IntN(5) {
		var attempts []Attempt
		for range random.IntN(6) {
			attempts = append(attempts, Attempt{Demand: cpu(job.MilliCores(random.IntN(8000))), StartedAt: testNow - 10, Expected: clock.Millis(random.IntN(200))})
		}
		r.Add(Endpoint{
			Free: job.Resources{CPU: job.MilliCores(random.IntN(20000)), Memory: job.Megabytes(random.IntN(1000))}, Speed: []float64{0.5, 1, 1, 2}[random.IntN(4)],
			From: testNow + clock.Millis(random.IntN(2)*30), Until: testNow + 150*clock.Millis(random.IntN(3)), Rack: datacentre.RackID([]string{"a", "b"}[random.IntN(2)]),
		}, attempts)
	}
}

// Guards against tasks that are placed elsewhere, or at other times, when several are placed at a time.
func TestTasksPlacedTogether(t *testing.T) {
	for seed := range uint64(3000) {
		var together, oneByOne Room
		randomRoom(rand.New(rand.NewPCG(seed, 1)), &together)
		randomRoom(rand.New(rand.NewPCG(seed, 1)), &oneByOne)
		random := rand.New(rand.NewPCG(seed, 2))
		for range 4 {
			tasks := tasksOf(1+random.IntN(40), job.MilliCores(random.IntN(4)*700), clock.Millis(random.IntN(3)*40))
			tasks.Demand.Memory, tasks.Late = job.Megabytes(random.IntN(3)*20), random.IntN(3) == 0
			tasks.Rack, tasks.FarFactor = datacentre.RackID([]string{"", "a"}[random.IntN(2)]), 2
			got, want := together.Place(tasks), oneByOne.placeOneByOne(tasks)
			if got != want {
				t.Fatalf("seed %d: got %+v for %d tasks, want %+v", seed, got, tasks.Count, want)
			}
			gotHolds, wantHolds := firstHolds(&together), firstHolds(&oneByOne)
			for i, want := range wantHolds {
				if got := gotHolds[i]; got != want {
					t.Fatalf("seed %d: got hold %+v, want %+v", seed, got, want)
				}
			}
			if len(gotHolds) != len(wantHolds) {
				t.Fatalf("seed %d: got %d endpoints with holds, want %d", seed, len(gotHolds), len(wantHolds))
			}
		}
	}
}

// firstHolds returns the first hold of each endpoint.
func firstHolds(r *Room) map[int]Hold {
	first := make(map[int]Hold)
	for _, h := range r.Holds() {
		if _, ok := first[h.Endpoint]; !ok {
			first[h.Endpoint] = h
		}
	}
	return first
}

// Guards against a plan that takes longer the more tasks a job has: 10,000 fit a body of 150 bytes.
func TestTasksPlacedTogetherTakeFewReservations(t *testing.T) {
	var r Room
	r.Reset(testNow)
	r.Add(Endpoint{Free: cpu(20_000), Speed: 1}, nil)
	r.Add(Endpoint{Free: cpu(20_000), Speed: 1}, nil)
	if got := r.Place(tasksOf(10_000, 1, 900)).Now; got != 10_000 {
		t.Errorf("got %d tasks now, want 10000", got)
	}
	if got := len(r.placed); got > 2 {
		t.Errorf("got %d reservations, want one for each endpoint at most", got)
	}
}
