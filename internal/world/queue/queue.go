// Package queue describes the desired state of the platform's operator: queues, the
// services whose endpoints run their tasks, and limits.
package queue

import (
	"strings"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Version orders desired states. Versions increase in uneven steps.
type Version int64

// Name names a queue.
type Name string

// ServiceName names a pool of endpoints.
type ServiceName string

// Queue accepts jobs that are sent to a host and a path prefix. The endpoints of a service run
// them.
type Queue struct {
	Name    Name
	Host    string
	Path    string
	Service ServiceName
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the failed attempts of a task.
	MaxAttempts int
	// Stretch and Allowance define the latency objective of a job: Stretch times its
	// critical path, plus Allowance.
	Stretch   float64
	Allowance clock.Millis
	// Timeout bounds a request; 0 means no bound.
	Timeout clock.Millis
	// Advised says that an advisory service chooses the endpoints of each step.
	Advised bool
}

// Objective returns the latency objective of a job with the given critical path.
func (q *Queue) Objective(criticalPath clock.Millis) clock.Millis {
	return clock.Millis(q.Stretch*float64(criticalPath)) + q.Allowance
}

// Service is a pool of endpoints.
type Service struct {
	Name ServiceName
	// GuardsRoom says that the endpoints reject tasks that exceed their free resources. The field
	// name is sent.
	GuardsRoom bool
	// MaxConnections bounds the connections to an endpoint over all VMs.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// State is a desired state. It is immutable.
type State struct {
	Version  Version
	Queues   []Queue
	Services map[ServiceName]Service
	Limits   Limits

	byHost map[string][]int
	byName map[Name]int
}

// NewState indexes the queues.
func NewState(v Version, queues []Queue, services map[ServiceName]Service, l Limits) *State {
	s := &State{
		Version: v, Queues: queues, Services: services, Limits: l,
		byHost: make(map[string][]int), byName: make(map[Name]int),
	}
	for i := range queues {
		host := strings.ToLower(queues[i].Host)
		s.byHost[host] = append(s.byHost[host], i)
		s.byName[queues[i].Name] = i
	}
	return s
}

// Match finds the queue whose path is the longest prefix of the given one, and returns the
// rest of the path.
func (s *State) Match(host, path string) (q *Queue, rest string) {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, i := range s.byHost[strings.ToLower(host)] {
		c := &s.Queues[i]
		if strings.HasPrefix(path, c.Path) && (q == nil || len(c.Path) > len(q.Path)) {
			q = c
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Path):]
}

// Queue returns the queue of the name, or nil.
func (s *State) Queue(n Name) *Queue {
	if s == nil {
		return nil
	}
	i, ok := s.byName[n]
	if !ok {
		return nil
	}
	return &s.Queues[i]
}
