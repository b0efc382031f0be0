package measure

import "container/heap"

// scheduledEvent is an event and the time at which it is handled. Events with equal times are
// handled in the order in which they were scheduled, so that runs with the same seed are identical.
type scheduledEvent struct {
	time     micros
	sequence uint64
	event    event
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].time != h[j].time {
		return h[i].time < h[j].time
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// eventQueue holds the scheduled events and the simulated time.
type eventQueue struct {
	entries  eventHeap
	sequence uint64
	now      micros
}

func (q *eventQueue) schedule(delay micros, e event) {
	q.sequence++
	heap.Push(&q.entries, scheduledEvent{time: q.now + delay, sequence: q.sequence, event: e})
}

// next returns the next event that is due by the end and advances the time to it.
func (q *eventQueue) next(end micros) (event, bool) {
	if len(q.entries) == 0 || q.entries[0].time > end {
		return nil, false
	}
	e := heap.Pop(&q.entries).(scheduledEvent)
	q.now = e.time
	return e.event, true
}
