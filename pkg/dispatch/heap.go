package dispatch

// heapItem is an item that stores its position in the heap.
type heapItem[T any] interface {
	before(other T) bool
	position() *int
}

// absent is the position of an item that is in no heap or bucket.
const absent = -1

// indexedHeap is a binary heap whose items can be moved and removed in logarithmic time.
// container/heap calls its methods through an interface, which took half of the decision
// time.
type indexedHeap[T heapItem[T]] struct {
	items []T
}

func (h *indexedHeap[T]) top() T {
	return h.items[0]
}

func (h *indexedHeap[T]) empty() bool {
	return len(h.items) == 0
}

func (h *indexedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	*x.position() = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(x T) {
	var zero T
	i, last := *x.position(), len(h.items)-1
	moved := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	*x.position() = absent
	if i == last {
		return
	}
	h.items[i] = moved
	*moved.position() = i
	h.fix(moved)
}

// fix restores the heap order after the key of x has changed.
func (h *indexedHeap[T]) fix(x T) {
	i := *x.position()
	h.up(i)
	if *x.position() == i {
		h.down(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	x := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !x.before(h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, x)
}

func (h *indexedHeap[T]) down(i int) {
	x := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].before(h.items[child]) {
			child++
		}
		if !h.items[child].before(x) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, x)
}

func (h *indexedHeap[T]) set(i int, x T) {
	h.items[i] = x
	*x.position() = i
}
