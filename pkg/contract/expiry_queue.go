package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// expiryQueue holds ids in the order in which they were added. All ids have the same
// retention period, so the head is always the next to expire.
type expiryQueue struct {
	items []expiryItem
	head  int
}

type expiryItem struct {
	id      SubmissionID
	addedAt clock.Millis
}

func (q *expiryQueue) push(id SubmissionID, at clock.Millis) {
	q.items = append(q.items, expiryItem{id: id, addedAt: at})
}

// pop removes and returns the head if it was added before the given time.
func (q *expiryQueue) pop(before clock.Millis) (SubmissionID, bool) {
	if q.head == len(q.items) || q.items[q.head].addedAt >= before {
		return SubmissionID{}, false
	}
	id := q.items[q.head].id
	q.items[q.head] = expiryItem{}
	q.head++
	// Compacting when half of the slice is unused has an amortised cost of O(1) per item.
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return id, true
}
