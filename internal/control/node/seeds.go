package node

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// firstSeedQueryDelay is how long a VM that starts waits for the store before it queries a seed.
	// Reading all tables takes about 20 ms.
	firstSeedQueryDelay = clock.Millis(100)
	// seedQueryInterval is the interval between queries to seeds. A query times out after 150 ms.
	seedQueryInterval = clock.Millis(200)
)

// querySeeds queries the seeds in rotation until this VM has the state of the deployment, from them
// or from the store.
func (n *Control) querySeeds() {
	if len(n.seeds) == 0 || n.now < n.nextSeedQueryAt || n.bootstrapped() {
		return
	}
	n.emit(QuerySeed{Address: n.seeds[0]})
	n.seeds = append(n.seeds[1:], n.seeds[0])
	n.nextSeedQueryAt = n.now + seedQueryInterval
}

// bootstrapped reports whether this VM has a desired state, the list of VMs and a replica set.
func (n *Control) bootstrapped() bool {
	if n.desired == nil || len(n.vms) == 0 {
		return false
	}
	for _, id := range n.shards {
		if set := n.monitors[id].ReplicaSet(); set.Revision > 0 {
			return true
		}
	}
	return false
}

// deploymentState returns the state of the deployment as this VM has it.
func (n *Control) deploymentState() DeploymentState {
	s := DeploymentState{Desired: n.desired, VMs: n.vms, Endpoints: n.endpoints, EndpointsVersion: n.endpointsVersion, Evacuations: n.evacuationReport()}
	for _, id := range n.shards {
		if set := n.monitors[id].ReplicaSet(); set.Revision > 0 {
			s.ReplicaSets = append(s.ReplicaSets, set)
		}
	}
	return s
}

// handleSeedAnswered applies the parts of a seed's answer that this VM does not have yet, or that
// are newer. The store may have answered in the meantime.
func (n *Control) handleSeedAnswered(s DeploymentState) {
	if s.Desired != nil {
		n.handleDesiredStateLoaded(s.Desired)
	}
	if len(n.vms) == 0 && len(s.VMs) > 0 {
		n.handleVMsLoaded(s.VMs)
	}
	if s.EndpointsVersion > n.endpointsVersion {
		n.handleEndpointsLoaded(EndpointsLoaded{Endpoints: s.Endpoints, Version: s.EndpointsVersion, Gap: true})
	}
	// The answer does not say when it was sent.
	n.applyEvacuationReport(s.Evacuations, 0)
	for _, set := range s.ReplicaSets {
		n.applyReplicaSet(set)
	}
}
