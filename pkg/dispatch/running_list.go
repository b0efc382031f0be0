package dispatch

// runningList is a doubly linked list of running tasks, in the order in which they were
// added.
type runningList struct {
	first, last *runningTask
	count       int
}

func (l *runningList) push(r *runningTask) {
	r.list, r.prev, r.next = l, l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.count++
}

func (l *runningList) remove(r *runningTask) {
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.list, r.prev, r.next = nil, nil, nil
	l.count--
}
