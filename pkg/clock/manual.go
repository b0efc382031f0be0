package clock

import "sync"

// Manual is a clock for tests that moves only when Advance is called.
type Manual struct {
	mu     sync.Mutex
	now    Millis
	timers []timer
}

type timer struct {
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
func (m *Manual) After(d Millis) <-chan Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan Millis, 1)
	m.timers = append(m.timers, timer{at: m.now + d, ch: ch})
	m.fire()
	return ch
}

// Advance moves the clock forward and fires the timers that are due.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	m.fire()
}

func (m *Manual) fire() {
	kept := m.timers[:0]
	for _, t := range m.timers {
		if t.at > m.now {
			kept = append(kept, t)
			continue
		}
		t.ch <- m.now
	}
	m.timers = kept
}
