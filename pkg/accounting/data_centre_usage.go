package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

const (
	// MaxDataCentreDigestOwners limits the rows of a digest between data centres, and of a digest
	// that relays such rows inside a data centre.
	MaxDataCentreDigestOwners = 8
	// DataCentreDigestMinInterval is the shortest interval between two such digests to one peer.
	DataCentreDigestMinInterval = clock.Second
	// dataCentreDigestPeers is the number of peers at which a VM sends one such digest per second
	// in total.
	dataCentreDigestPeers = 16
)

// DataCentreDigestInterval returns the interval between two data centre digests to one peer. It
// grows with the square of the number of peers, so that digests use less bandwidth as heartbeats
// use more of the 19 KB/s that a node may use.
func DataCentreDigestInterval(peers int) clock.Millis {
	return max(DataCentreDigestMinInterval, clock.Millis(peers*peers)*clock.Second/dataCentreDigestPeers)
}

// DataCentreUsage is the usage of one owner, summed over the VMs of a data centre that have not
// been removed.
type DataCentreUsage struct {
	DataCentre datacentre.ID
	Usage      dispatch.OwnerUsage
	// Age is the age of the oldest summed figure.
	Age clock.Millis
}
