// Package estimate describes the performance estimates that a leader makes for its shard and
// that the next leader inherits.
package estimate

import (
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Mean is a mean of logarithms and the number of samples that it stands for.
type Mean struct {
	Log     float64
	Samples int
}

// Estimates are the performance estimates of a shard.
type Estimates struct {
	// Speeds are relative speeds of endpoints; a typical endpoint has speed 1, whose logarithm
	// is 0.
	Speeds map[datacentre.EndpointID]Mean
	// Works are the durations of a task of each queue, in milliseconds at speed 1.
	Works map[queue.Name]Mean
}
