package fleet

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// attemptChecker compares the attempts at endpoints with the answers to callers.
type attemptChecker struct {
	mu       sync.Mutex
	running  map[string]string
	done     map[string]bool
	started  map[string]bool
	answers  map[string]string
	problems []string
	ended    int
	attempts int
	ends     map[string]int
}

func newAttemptChecker() *attemptChecker {
	return &attemptChecker{
		running: make(map[string]string), done: make(map[string]bool), started: make(map[string]bool),
		answers: make(map[string]string), ends: make(map[string]int),
	}
}

// endpointObserver records the attempts of one endpoint in the checker.
type endpointObserver struct {
	checker  *attemptChecker
	endpoint string
}

func (c *attemptChecker) observer(endpoint string) endpointObserver {
	return endpointObserver{c, endpoint}
}

func (c *attemptChecker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// AttemptStarted implements standin.Observer.
func (o endpointObserver) AttemptStarted(task string, attempt int64) {
	c := o.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	location := fmt.Sprintf("%s attempt %d", o.endpoint, attempt)
	if other, simultaneous := c.running[task]; simultaneous {
		c.addProblem("%s started at %s while it was running at %s", task, location, other)
	}
	id, _, _ := strings.Cut(task, ".")
	if c.answers[id] == "refused" {
		c.addProblem("%s started at %s after its job had been refused", task, location)
	}
	c.running[task], c.started[id] = location, true
	c.attempts++
}

// AttemptEnded implements standin.Observer.
func (o endpointObserver) AttemptEnded(task string, attempt int64, outcome string) {
	c := o.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == fmt.Sprintf("%s attempt %d", o.endpoint, attempt) {
		delete(c.running, task)
	}
	c.ends[outcome]++
	if outcome == "done" {
		c.done[task] = true
	}
}

// completed checks that all tasks of a job that was reported as completed are done.
func (c *attemptChecker) completed(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = "completed"
	c.ended++
	for k := range tasks {
		if name := fmt.Sprintf("%s.0.0.%d", id, k); !c.done[name] {
			c.addProblem("%s: the answer to the caller was completed, but %s is not done", id, name)
		}
	}
}

// refused checks that no task has started of a job that was refused when it was first sent.
func (c *attemptChecker) refused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = "refused"
	if c.started[id] {
		c.addProblem("%s: the answer to the caller was refused, but the job has started", id)
	}
}
