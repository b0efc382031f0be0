package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// expiryQueue holds ids in the order of the times they were added. All are kept for
// the same span, so the head is always the next to expire.
type expiryQueue struct {
	items []expiring
	head  int
}

type expiring struct {
	id SubmissionID
	at clock.Millis
}

func (q *expiryQueue) push(id SubmissionID, at clock.Millis) {
	q.items = append(q.items, expiring{id: id, at: at})
}

// pop takes the head if it was added before the given time.
func (q *expiryQueue) pop(before clock.Millis) (SubmissionID, bool) {
	if q.head == len(q.items) || q.items[q.head].at >= before {
		return SubmissionID{}, false
	}
	id := q.items[q.head].id
	q.items[q.head] = expiring{}
	q.head++
	// Moving the rest when half of the slice is free costs O(1) per item on average.
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return id, true
}
