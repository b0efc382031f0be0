//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start in milliseconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// at returns a point in time in milliseconds since the start.
func (r *record) at(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }

func (r *record) logAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d ms  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

func (r *record) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }
