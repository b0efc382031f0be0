//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// runRecord is a run that a minion has begun.
type runRecord struct {
	task, minion string
	number       int64
	life         int64
	startedAt    time.Time
	endedAt      time.Time
	how          string
}

// jobRecord is what a client knows of its job.
type jobRecord struct {
	id        string
	body      jobBody
	spec      string
	sent      int
	rejected  int
	completed bool
	// cancelAckedAt is when the first DELETE was answered with 2xx or 410.
	cancelAckedAt time.Time
}

// checker keeps the record of the scenario and checks the rules.
type checker struct {
	mu     sync.Mutex
	from   time.Time
	out    io.Writer
	jobs   map[string]*jobRecord
	runs   map[string][]*runRecord
	breaks []string
	counts map[string]int
}

func newChecker(record string) *checker {
	f, err := os.Create(record)
	must(err)
	return &checker{from: time.Now(), out: f, jobs: map[string]*jobRecord{}, runs: map[string][]*runRecord{}, counts: map[string]int{}}
}

// log writes a line of the record. The caller need not hold the lock.
func (c *checker) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write(time.Now(), fmt.Sprintf(format, args...))
}

func (c *checker) write(at time.Time, text string) {
	_, _ = fmt.Fprintf(c.out, "%9.3f %s\n", at.Sub(c.from).Seconds(), text)
}

func (c *checker) broken(rule, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakLocked(rule, text)
}

func (c *checker) breakLocked(rule, text string) {
	c.breaks = append(c.breaks, rule+": "+text)
	c.write(time.Now(), "BROKEN "+rule+": "+text)
}

// began records a run and checks the rules that a start can break.
func (c *checker) began(m *minion, o order, p stepSpec, now time.Time) *runRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &runRecord{task: o.Task, minion: m.id, number: o.Run, life: m.born, startedAt: now}
	c.write(now, fmt.Sprintf("run   %s %d begins at %s token %d", o.Task, o.Run, m.id, o.Token))
	c.counts["runs"]++
	for _, other := range c.runs[o.Task] {
		if other.endedAt.IsZero() || other.endedAt.After(now) {
			c.breakLocked("TWICE", fmt.Sprintf("task %s runs at %s (run %d) and begins at %s (run %d)", o.Task, other.minion, other.number, m.id, o.Run))
		}
	}
	c.runs[o.Task] = append(c.runs[o.Task], r)
	id, step, index := splitTask(o.Task)
	j := c.jobs[id]
	if j == nil {
		c.breakLocked("UNASKED", "task "+o.Task+" of no job begins at "+m.id)
		return r
	}
	if step < 0 || step >= len(j.body.Steps) || index < 0 || index >= j.body.Steps[step].Count {
		c.breakLocked("UNASKED", "task "+o.Task+" that its job does not have begins at "+m.id)
		return r
	}
	if o.Spec != j.spec {
		c.breakLocked("UNASKED", "task "+o.Task+" begins with another task_spec")
	}
	if !j.cancelAckedAt.IsZero() && now.Sub(j.cancelAckedAt) > cancelMs*time.Millisecond {
		c.breakLocked("UNASKED", fmt.Sprintf("task %s begins %d ms after its cancelling was acknowledged", o.Task, now.Sub(j.cancelAckedAt).Milliseconds()))
	}
	return r
}

func (c *checker) isDone(task string) bool {
	for _, r := range c.runs[task] {
		if r.how == "done" {
			return true
		}
	}
	return false
}

func (c *checker) ended(r *runRecord, at time.Time, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.endedAt, r.how = at, how
	c.counts["run "+how]++
	c.write(at, fmt.Sprintf("run   %s %d ends %s at %s", r.task, r.number, how, r.minion))
}

// finish checks what only the end shows, and reports whether all rules were kept.
func (c *checker) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		started := false
		for s, step := range j.body.Steps {
			for i := range step.Count {
				name := fmt.Sprintf("%s.0.%d.%d", id, s, i)
				started = started || len(c.runs[name]) > 0
				if j.completed && !c.isDone(name) {
					c.breakLocked("MIXED", "job "+id+" was shown as completed, and task "+name+" has not ended done")
				}
			}
		}
		if started && j.sent > 0 && j.rejected == j.sent {
			c.breakLocked("REFUSED", fmt.Sprintf("job %s has started, and all %d attempts to hand it in were rejected", id, j.sent))
		}
	}
	c.write(time.Now(), fmt.Sprintf("counts %v", c.counts))
	return len(c.breaks) == 0
}
