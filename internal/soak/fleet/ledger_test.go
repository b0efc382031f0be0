package fleet

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ledger compares the attempts at endpoints with the answers to callers.
type ledger struct {
	mu       sync.Mutex
	running  map[string]string
	done     map[string]bool
	started  map[string]bool
	told     map[string]string
	problems []string
	ended    int
	runs     int
	ends     map[string]int
}

func newLedger() *ledger {
	return &ledger{
		running: make(map[string]string), done: make(map[string]bool), started: make(map[string]bool),
		told: make(map[string]string), ends: make(map[string]int),
	}
}

// witness records the attempts of one endpoint in the ledger.
type witness struct {
	ledger   *ledger
	endpoint string
}

func (l *ledger) at(endpoint string) witness { return witness{l, endpoint} }

func (l *ledger) problem(format string, args ...any) {
	l.problems = append(l.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// AttemptStarted implements standin.Witness.
func (w witness) AttemptStarted(task string, run int64) {
	l := w.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	here := fmt.Sprintf("%s run %d", w.endpoint, run)
	if other, twice := l.running[task]; twice {
		l.problem("%s began at %s while it ran at %s", task, here, other)
	}
	id, _, _ := strings.Cut(task, ".")
	if l.told[id] == "refused" {
		l.problem("%s began at %s after its job had been refused", task, here)
	}
	l.running[task], l.started[id] = here, true
	l.runs++
}

// AttemptEnded implements standin.Witness.
func (w witness) AttemptEnded(task string, run int64, how string) {
	l := w.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[task] == fmt.Sprintf("%s run %d", w.endpoint, run) {
		delete(l.running, task)
	}
	l.ends[how]++
	if how == "done" {
		l.done[task] = true
	}
}

// completed checks that all tasks of a job that was reported as completed are done.
func (l *ledger) completed(id string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = "completed"
	l.ended++
	for k := range tasks {
		if name := fmt.Sprintf("%s.0.0.%d", id, k); !l.done[name] {
			l.problem("%s: the caller was told that the job is complete, but %s is not", id, name)
		}
	}
}

// refused checks that no task of a job has started that was refused when first sent.
func (l *ledger) refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = "refused"
	if l.started[id] {
		l.problem("%s: the caller was told that the job has not run, but it has", id)
	}
}
