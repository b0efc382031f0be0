package fleet

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// attemptChecker compares the attempts at endpoints with the answers to callers.
type attemptChecker struct {
	mu sync.Mutex
	// running has the endpoint and number of the latest attempt that is not known to have ended, by
	// task; done has the tasks with a successful attempt.
	running map[string]string
	done    map[string]bool
	// suspected are attempts that must turn out to have ended before something else happened.
	suspected map[suspect][]event
	// history has the attempts of each task, for the report of a problem.
	history map[string][]string
	// lateEnds counts ends that were notified after what they have to precede.
	lateEnds int
	// started has the jobs with a started task; answers has the final answer to the caller, by
	// job.
	started       map[string]bool
	answers       map[string]string
	problems      []string
	jobsCompleted int
	attempts      int
	// ends counts ended attempts by outcome.
	ends map[string]int
	// closedFrom is from when on no task may start in a data centre, and starts counts those in each.
	closedFrom map[string]time.Time
	starts     map[string]int
}

// suspect is an attempt of a task, and event is what it must have ended before.
type suspect struct{ task, location string }

type event struct {
	at   time.Time
	text string
}

func newAttemptChecker() *attemptChecker {
	return &attemptChecker{
		running: make(map[string]string), suspected: make(map[suspect][]event), history: make(map[string][]string), done: make(map[string]bool), started: make(map[string]bool),
		answers: make(map[string]string), ends: make(map[string]int), closedFrom: make(map[string]time.Time), starts: make(map[string]int),
	}
}

// endpointObserver records the attempts of one endpoint in the checker.
type endpointObserver struct {
	checker      *attemptChecker
	endpoint, dc string
}

func (c *attemptChecker) observer(endpoint, dc string) endpointObserver {
	return endpointObserver{c, endpoint, dc}
}

func (c *attemptChecker) addProblem(format string, args ...any) {
	c.problems = append(c.problems, time.Now().Format(timeFormat+" ")+fmt.Sprintf(format, args...))
}

const timeFormat = "15:04:05.000"

// AttemptStarted implements standin.Observer.
func (o endpointObserver) AttemptStarted(task string, attempt int64, at time.Time) {
	c := o.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	location := fmt.Sprintf("%s attempt %d", o.endpoint, attempt)
	c.suspect(task, at, "started at "+location)
	c.history[task] = append(c.history[task], at.Format(timeFormat)+" started at "+location)
	id, _, _ := strings.Cut(task, ".")
	if c.answers[id] == "refused" {
		c.addProblem("%s started at %s after its job had been refused", task, location)
	}
	if closed := c.closedFrom[o.dc]; !closed.IsZero() && at.After(closed) {
		c.addProblem("%s started at %s %v after the notice of its data centre's evacuation", task, location, at.Sub(closed))
	}
	c.starts[o.dc]++
	c.running[task], c.started[id] = location, true
	c.attempts++
}

// suspect records that an event must not happen before the attempt of a task has ended. Whether it
// does is known when the end is notified, which may be later.
func (c *attemptChecker) suspect(task string, at time.Time, text string) {
	if location, ok := c.running[task]; ok {
		s := suspect{task, location}
		c.suspected[s] = append(c.suspected[s], event{at, text})
	}
}

// reportRemaining reports the suspected attempts whose end was never notified.
func (c *attemptChecker) reportRemaining() {
	for s, events := range c.suspected {
		for _, e := range events {
			c.addProblem("%s %s %s, and its attempt at %s has not ended; history: %v", s.task, e.text, e.at.Format(timeFormat), s.location, c.history[s.task])
		}
	}
}

// AttemptEnded implements standin.Observer.
func (o endpointObserver) AttemptEnded(task string, attempt int64, outcome string, at time.Time) {
	c := o.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	s := suspect{task, fmt.Sprintf("%s attempt %d", o.endpoint, attempt)}
	c.history[task] = append(c.history[task], at.Format(timeFormat)+" ended at "+s.location+": "+outcome)
	for _, e := range c.suspected[s] {
		c.lateEnds++
		if overlap := at.Sub(e.at); overlap > 0 {
			c.addProblem("%s %s %s, %v before its attempt at %s ended; history: %v", task, e.text, e.at.Format(timeFormat), overlap, s.location, c.history[task])
		}
	}
	delete(c.suspected, s)
	if c.running[task] == s.location {
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
	c.jobsCompleted++
	for k := range tasks {
		if name := fmt.Sprintf("%s.0.0.%d", id, k); !c.done[name] {
			c.addProblem("%s: the answer to the caller was completed, but %s is not done", id, name)
		}
	}
}

// resent checks that no attempt of a job is left when its caller sends the job again.
func (c *attemptChecker) resent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		if strings.HasPrefix(task, id+".") {
			c.suspect(task, time.Now(), "was sent again by its caller")
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
