package node

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// firstSeedQueryDelay is how long after its start a VM leaves it to the store to tell what there
	// is; reading all tables takes some 20 ms.
	firstSeedQueryDelay = clock.Millis(100)
	// seedQueryInterval spaces questions to seeds; a VM that does not answer is waited for for
	// 150 ms.
	seedQueryInterval = clock.Millis(200)
)

// querySeeds asks the seeds in turn until this VM knows the deployment, from them or the store.
func (n *Control) querySeeds() {
	if len(n.seeds) == 0 || n.now < n.nextSeedQueryAt || n.bootstrapped() {
		return
	}
	n.emit(QuerySeed{Address: n.seeds[0]})
	n.seeds = append(n.seeds[1:], n.seeds[0])
	n.nextSeedQueryAt = n.now + seedQueryInterval
}

// bootstrapped reports whether this VM knows a desired state and the homes of cells.
func (n *Control) bootstrapped() bool {
	if n.desired == nil || len(n.vms) == 0 {
		return false
	}
	for _, c := range n.shards {
		if l := n.monitors[c].ReplicaSet(); l.Revision > 0 {
			return true
		}
	}
	return false
}

// deploymentState is all that this VM knows.
func (n *Control) deploymentState() DeploymentState {
	i := DeploymentState{Desired: n.desired, VMs: n.vms, Endpoints: n.endpoints, EndpointsVersion: n.endpointsVersion}
	for _, c := range n.shards {
		if l := n.monitors[c].ReplicaSet(); l.Revision > 0 {
			i.ReplicaSets = append(i.ReplicaSets, l)
		}
	}
	return i
}

// seedAnswered takes in what a seed knows, as far as this VM does not know it already. The store
// may have answered meanwhile.
func (n *Control) seedAnswered(i DeploymentState) {
	if i.Desired != nil {
		n.desiredStateLoaded(i.Desired)
	}
	if len(n.vms) == 0 && len(i.VMs) > 0 {
		n.vmsLoaded(i.VMs)
	}
	if i.EndpointsVersion > n.endpointsVersion {
		n.endpointsLoaded(EndpointsLoaded{Endpoints: i.Endpoints, Version: i.EndpointsVersion})
	}
	for _, l := range i.ReplicaSets {
		n.applyReplicaSet(l)
	}
}
