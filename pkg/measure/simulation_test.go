package measure

import (
	"math"
	"testing"
)

func shortScenario(seed uint64) scenario {
	return scenario{
		workload:   Consorcio(),
		seed:       seed,
		phases:     []phase{{duration: second, load: 0.6}, {duration: second, load: 3}},
		windowFrom: 0,
		windowTo:   2 * second,
		drain:      120 * second,
	}
}

// Guards against results that differ between runs with the same seed, and against a simulation
// that loses tasks or starts them twice.
func TestRunsAreRepeatable(t *testing.T) {
	for name, policy := range map[string]Policy{"sequoiacart": Sequoiacart{}, "random": RandomFIFO{}, "two choices": PowerOfTwoFIFO{}} {
		t.Run(name, func(t *testing.T) {
			a := newSimulation(shortScenario(3), policy).run()
			b := newSimulation(shortScenario(3), policy).run()
			tasks := 0
			for i, j := range a.jobs {
				if other := b.jobs[i]; j.endedAt != other.endedAt || j.refused != other.refused {
					t.Fatalf("got job %d ended at %d and %d, want equal", i, j.endedAt, other.endedAt)
				}
				if !j.refused && j.unfinished != 0 {
					t.Errorf("got %d tasks of job %d without an answer, want none", j.unfinished, i)
				}
				if !j.refused {
					tasks += len(j.tasks)
				}
			}
			if a.started != tasks {
				t.Errorf("got %d starts, want one for each of %d tasks", a.started, tasks)
			}
			if a.wasted != b.wasted {
				t.Errorf("got %d and %d wasted messages, want equal", a.wasted, b.wasted)
			}
		})
	}
}

// Guards against generated arrivals whose load differs from that of the scenario.
func TestGeneratedLoadMatchesScenario(t *testing.T) {
	for seed := range uint64(5) {
		s := shortScenario(seed)
		m := newSimulation(s, RandomFIFO{})
		work := 0.0
		for _, j := range m.jobs {
			for _, task := range j.tasks {
				work += float64(task.runTime)
			}
		}
		got, want := work/m.capacity/float64(second), 0.6+3
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("got load of %.2f over both phases with seed %d, want %.2f", got, seed, want)
		}
	}
}
