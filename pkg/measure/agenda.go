package measure

import "container/heap"

// agendaEntry is a scheduled event. Events with equal times are handled in the order in which
// they were scheduled, so that runs with the same seed are identical.
type agendaEntry struct {
	at       micros
	sequence uint64
	event    event
}

type agendaHeap []agendaEntry

func (h agendaHeap) Len() int { return len(h) }

func (h agendaHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h agendaHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *agendaHeap) Push(x any) { *h = append(*h, x.(agendaEntry)) }

func (h *agendaHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// agenda is the queue of scheduled events.
type agenda struct {
	entries  agendaHeap
	sequence uint64
	now      micros
}

func (a *agenda) after(span micros, e event) {
	a.sequence++
	heap.Push(&a.entries, agendaEntry{at: a.now + span, sequence: a.sequence, event: e})
}

// next returns the next event that is due by the end and advances the time to it.
func (a *agenda) next(end micros) (event, bool) {
	if len(a.entries) == 0 || a.entries[0].at > end {
		return nil, false
	}
	e := heap.Pop(&a.entries).(agendaEntry)
	a.now = e.at
	return e.event, true
}
