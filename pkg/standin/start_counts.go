package standin

import (
	"strings"
	"sync"
)

// TaskName names a task of a submission: "<submission id>/<task index>".
type TaskName string

// StartCounts counts the starts of each task over all attempts.
type StartCounts struct {
	mu     sync.Mutex
	starts map[TaskName]int
}

// NewStartCounts returns empty counts, which several endpoints may share.
func NewStartCounts() *StartCounts {
	return &StartCounts{starts: make(map[TaskName]int)}
}

// Total returns the number of starts.
func (c *StartCounts) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, n := range c.starts {
		total += n
	}
	return total
}

// Repeated returns the tasks that were started more than once.
func (c *StartCounts) Repeated() map[TaskName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	repeated := make(map[TaskName]int)
	for task, n := range c.starts {
		if n > 1 {
			repeated[task] = n
		}
	}
	return repeated
}

// All returns a copy of the counts.
func (c *StartCounts) All() map[TaskName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[TaskName]int, len(c.starts))
	for task, n := range c.starts {
		all[task] = n
	}
	return all
}

func (c *StartCounts) add(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[taskNameOf(attempt)]++
}

// taskNameOf strips the attempt number from an attempt id.
func taskNameOf(attempt string) TaskName {
	end := strings.LastIndexByte(attempt, '/')
	if end < 0 {
		return TaskName(attempt)
	}
	return TaskName(attempt[:end])
}
