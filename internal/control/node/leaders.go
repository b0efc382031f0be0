package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Available implements gateway.Leaders. The shard of this VM's data centre comes first, then the
// others in descending order of free CPU, and those of evacuated data centres last.
func (n *Control) Available(now clock.Millis) []shard.ID {
	var all []shard.ID
	for _, id := range n.shards {
		if _, _, _, ok := n.monitors[id].Leader(now); ok {
			all = append(all, id)
		}
	}
	slices.SortStableFunc(all, n.compareShards)
	return all
}

// ListedSince implements gateway.Leaders.
func (n *Control) ListedSince(id shard.ID) clock.Millis {
	switch monitor := n.monitors[id]; {
	case n.ledShards[id] != nil:
		return n.endpointsListedAt
	case monitor != nil:
		return monitor.ListedSince()
	}
	return 0
}

// Leader implements gateway.Leaders.
func (n *Control) Leader(id shard.ID, now clock.Millis) (vm.Incarnation, bool) {
	monitor := n.monitors[id]
	if monitor == nil {
		return "", false
	}
	m, _, _, ok := monitor.Leader(now)
	return m.Incarnation, ok
}

// EndpointsReader returns the VM that reads the list of endpoints from the store for the others: the
// leader of the first shard that has one. It reports false if that is this VM or there is none.
func (n *Control) EndpointsReader() (shard.Member, bool) {
	for _, id := range n.shards {
		if m, _, _, ok := n.monitors[id].Leader(n.now); ok {
			return m, m.Incarnation != n.config.Self.Incarnation
		}
	}
	return shard.Member{}, false
}
