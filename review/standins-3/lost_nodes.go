//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["lost-nodes"] = lostNodes }

// lostNodes ends all nodes but one for good, and checks the one that is left.
func lostNodes(o options) *world {
	w := newWorld(o.record, o.binary, true, 2, []int{4, 4, 4}, o.seed)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	keep := w.nodes[o.seed%uint64(len(w.nodes))]
	if o.trouble {
		for _, n := range w.nodes {
			if n != keep {
				n.signal(syscall.SIGKILL)
			}
		}
	}
	all := w.nodes
	w.nodes = []*node{keep}
	w.checkHealth()
	w.nodes = all
	fmt.Println("kept node", keep.name)
	return w
}
