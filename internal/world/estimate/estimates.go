// Package estimate describes what a home has learnt of a cell and hands on to the next one.
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

// Estimates is what a home has learnt.
type Estimates struct {
	// Speeds are the speeds of endpoints; the logarithm of 1 is that of a usual endpoint.
	Speeds map[datacentre.EndpointID]Mean
	// Works are how much work a task of a queue is, in milliseconds at speed 1.
	Works map[queue.Name]Mean
}
