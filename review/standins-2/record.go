//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) write(format string, args ...any) { r.writeAt(time.Now(), format, args...) }

func (r *recorder) writeAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", at.Sub(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// attempt is one run of a task at an endpoint.
type attempt struct {
	endpoint   string
	number     int64
	began, end time.Time
	outcome    string
}

// attempts are all runs, by task.
type attempts struct {
	record *recorder

	mu     sync.Mutex
	byTask map[string][]*attempt
}

// observer notes the runs at one endpoint. It implements standin.Observer.
type observer struct {
	attempts *attempts
	endpoint string
}

// AttemptStarted implements standin.Observer.
func (o observer) AttemptStarted(task string, number int64, at time.Time) {
	o.attempts.mu.Lock()
	o.attempts.byTask[task] = append(o.attempts.byTask[task], &attempt{endpoint: o.endpoint, number: number, began: at})
	o.attempts.mu.Unlock()
	o.attempts.record.writeAt(at, "run begins: %s run %d at %s", task, number, o.endpoint)
}

// AttemptEnded implements standin.Observer.
func (o observer) AttemptEnded(task string, number int64, outcome string, at time.Time) {
	o.attempts.mu.Lock()
	for _, a := range o.attempts.byTask[task] {
		if a.endpoint == o.endpoint && a.number == number && a.end.IsZero() {
			a.end, a.outcome = at, outcome
		}
	}
	o.attempts.mu.Unlock()
	o.attempts.record.writeAt(at, "run ends: %s run %d at %s: %s", task, number, o.endpoint, outcome)
}

// overlaps writes each pair of runs of one task that were running at the same time, and counts them.
func (a *attempts) overlaps() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, now := 0, time.Now()
	endOf := func(x *attempt) time.Time {
		if x.end.IsZero() {
			return now
		}
		return x.end
	}
	for task, all := range a.byTask {
		for i, x := range all {
			for _, y := range all[i+1:] {
				from, to := x.began, endOf(x)
				if y.began.After(from) {
					from = y.began
				}
				if endOf(y).Before(to) {
					to = endOf(y)
				}
				if !from.Before(to) {
					continue
				}
				n++
				a.record.write("TWICE: %s ran at %s (run %d) and at %s (run %d) at the same time, for %d ms from %.3f s on",
					task, x.endpoint, x.number, y.endpoint, y.number, to.Sub(from).Milliseconds(), from.Sub(a.record.start).Seconds())
			}
		}
	}
	return n
}
