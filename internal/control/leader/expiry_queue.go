package leader

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// expiryQueue holds items in the order in which they were added.
type expiryQueue[T any] struct {
	items   []T
	addedAt []clock.Millis
	first   int
}

func (q *expiryQueue[T]) add(t T, now clock.Millis) {
	q.items = append(q.items, t)
	q.addedAt = append(q.addedAt, now)
}

// popBefore removes and returns the items that were added before the given time.
func (q *expiryQueue[T]) popBefore(before clock.Millis) []T {
	from := q.first
	for q.first < len(q.addedAt) && q.addedAt[q.first] < before {
		q.first++
	}
	old := q.items[from:q.first]
	if q.first > len(q.addedAt)/2 && q.first > 64 {
		rest := append([]T(nil), q.items[q.first:]...)
		old = append([]T(nil), old...)
		q.items, q.addedAt, q.first = rest, append([]clock.Millis(nil), q.addedAt[q.first:]...), 0
	}
	return old
}
