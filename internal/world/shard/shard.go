// Package shard describes sets of endpoints that one VM, their home, gives orders to.
package shard

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// ID names a cell. A cell holds the endpoints of one data centre.
type ID string

// ForDataCentre returns the cell of a data centre.
func ForDataCentre(dc datacentre.ID) ID { return ID(dc) }

// DataCentre returns the data centre whose endpoints the cell holds.
func (c ID) DataCentre() datacentre.ID { return datacentre.ID(c) }

// Token is a fencing token: endpoints refuse orders with a lower one than they have seen.
type Token int64

// rankBits leave room for 256 successors under each version of a lineup.
const rankBits = 8

// Member is a VM in a lineup.
type Member struct {
	Incarnation vm.Incarnation
	Address     string
}

// ReplicaSet names the home of a cell, first, and its successors in order.
type ReplicaSet struct {
	Cell ID
	// Revision is the version of the lineup's row in the platform's store. All versions
	// come from one rising counter.
	Revision int64
	Members  []Member
}

// Token is the fencing token of the member of that rank. A later lineup outranks all
// members of an earlier one, and a successor outranks its predecessors.
func (l *ReplicaSet) Token(rank int) Token {
	return Token(l.Revision<<rankBits | int64(rank))
}

// Rank returns the rank of a VM in the lineup, or -1.
func (l *ReplicaSet) Rank(i vm.Incarnation) int {
	return slices.IndexFunc(l.Members, func(m Member) bool { return m.Incarnation == i })
}

// ForecastHorizon is how far SoonCPU of a Load looks ahead. The tightest jobs of both deployments have
// to start within 90 ms; the rest is for figures that are up to 100 ms old.
const ForecastHorizon = clock.Millis(50)

// Waiting is the processor capacity, in thousandths of a core, that queued tasks of a
// priority ask for.
type Waiting struct {
	Priority int
	CPU      int64
}

// Load is what a home tells others of its cell.
type Load struct {
	Cell ID
	// FreeCPU is unused processor capacity of usable endpoints, in thousandths of a core;
	// TotalCPU is all of it.
	FreeCPU, TotalCPU int64
	// SoonCPU is used capacity that is expected to be free within SoonSpan.
	SoonCPU int64
	// Waiting is the capacity that queued tasks ask for, by the priority of their queues.
	Waiting []Waiting
	// At is when the figures were received, by the clock of the VM that has them.
	At clock.Millis
}

// WaitingCPU is the capacity that all queued tasks ask for.
func (l *Load) WaitingCPU() int64 {
	var sum int64
	for _, w := range l.Waiting {
		sum += w.CPU
	}
	return sum
}

// WaitingBefore is the capacity that queued tasks ask for which come before or with tasks of
// the priority.
func (l *Load) WaitingBefore(priority int) int64 {
	var sum int64
	for _, w := range l.Waiting {
		if w.Priority <= priority {
			sum += w.CPU
		}
	}
	return sum
}

// AddWaiting adds queued tasks of a priority.
func (l *Load) AddWaiting(priority int, cpu int64) {
	for i := range l.Waiting {
		if l.Waiting[i].Priority == priority {
			l.Waiting[i].CPU += cpu
			return
		}
	}
	l.Waiting = append(l.Waiting, Waiting{Priority: priority, CPU: cpu})
}
