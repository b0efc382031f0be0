package node_test

import (
	"math/rand/v2"
	"strings"
)

// network delivers messages between the parts of a world, which it knows by name.
type network struct {
	world *world
	links map[link]*linkState
	// lossUntil is until when messages are lost or delayed at random.
	lossUntil micros
	lossRate  float64
}

// link is one direction between two parties.
type link struct{ from, to string }

type linkState struct {
	random   *rand.Rand
	cutUntil micros
	// resetUntil is until when the link resets connections.
	resetUntil micros
}

const (
	storeName  = "store"
	callerName = "callers"
	// retransmissionLimit is how long a connection keeps unacknowledged bytes. What was sent into a
	// cut that ends sooner is delivered late.
	retransmissionLimit = second
)

func newNetwork(w *world) *network {
	return &network{world: w, links: make(map[link]*linkState)}
}

func (n *network) link(from, to string) *linkState {
	l := link{from, to}
	s := n.links[l]
	if s == nil {
		s = &linkState{random: n.world.random(from + ">" + to)}
		n.links[l] = s
	}
	return s
}

// cut loses all messages in one direction for a while.
func (n *network) cut(from, to string, duration micros) {
	s := n.link(from, to)
	s.cutUntil = max(s.cutUntil, n.world.now+duration)
}

// isCut reports whether messages are lost now.
func (n *network) isCut(from, to string) bool { return n.world.now < n.link(from, to).cutUntil }

// resets reports whether connections are reset now.
func (n *network) resets(from, to string) bool { return n.world.now < n.link(from, to).resetUntil }

// latency is the one-way delay between two parties; those of a data centre are close.
func (n *network) latency(from, to string, random *rand.Rand) micros {
	delay := 200 + micros(random.Int64N(600))
	if a, b := n.dataCentre(from), n.dataCentre(to); a != b && a != "" && b != "" {
		delay += 11 * ms
	}
	return delay
}

func (n *network) dataCentre(name string) string {
	for _, dc := range modelDataCentres {
		if strings.Contains(name, string(dc)) {
			return string(dc)
		}
	}
	return ""
}

// send delivers a message after the latency of its link, unless it is lost. It reports whether the
// message will arrive.
func (n *network) send(from, to string, deliver func()) bool {
	return n.sendUnlessReset(from, to, deliver, func() bool { return false })
}

// sendUnlessReset delivers a message like send, unless it is held up by a cut or lost packets and its
// sender has reset the connection meanwhile.
func (n *network) sendUnlessReset(from, to string, deliver func(), reset func() bool) bool {
	s := n.link(from, to)
	latency := n.latency(from, to, s.random)
	delay := latency
	if n.isCut(from, to) {
		remaining := s.cutUntil - n.world.now
		if remaining > retransmissionLimit || s.random.IntN(2) == 0 {
			return false
		}
		delay += remaining
	}
	if n.world.now < n.lossUntil && s.random.Float64() < n.lossRate {
		// Callers notice a broken connection, so that loss only delays what they send and receive.
		if from != callerName && to != callerName && s.random.IntN(2) == 0 {
			return false
		}
		delay += micros(s.random.Int64N(int64(retransmissionLimit)))
	}
	if held := delay - latency; held > 0 {
		n.world.after(held, func() {
			if !reset() {
				n.world.after(latency, deliver)
			}
		})
		return true
	}
	n.world.after(delay, deliver)
	return true
}
