package node_test

// simEvent is something that happens in the simulation at a point in time.
type simEvent struct {
	at    micros
	order int
	do    func()
}

// eventHeap orders events by time, and those of the same time by when they were scheduled.
type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
