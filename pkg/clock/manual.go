package clock

import "sync"

// Manual is a clock for tests that moves only when told to.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	waiting []wakeUp
}

type wakeUp struct {
	at Millis
	ch chan Millis
}

// NewManual returns a manual clock set to start.
func NewManual(start Millis) *Manual {
	return &Manual{now: start}
}

// Now implements Clock.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(span Millis) <-chan Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan Millis, 1)
	m.waiting = append(m.waiting, wakeUp{at: m.now + span, ch: ch})
	m.wake()
	return ch
}

// Advance moves the clock forward and wakes whoever is due.
func (m *Manual) Advance(span Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += span
	m.wake()
}

func (m *Manual) wake() {
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		if w.at > m.now {
			kept = append(kept, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiting = kept
}
