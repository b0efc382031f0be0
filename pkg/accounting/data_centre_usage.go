package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

const (
	// MaxDataCentreDigestOwners bounds the rows of one digest between data centres, and of one that
	// passes such rows on inside a data centre.
	MaxDataCentreDigestOwners = 8
	// DataCentreDigestMinInterval is the least span between two such digests to one peer.
	DataCentreDigestMinInterval = clock.Second
	// dataCentreDigestPeers is the number of peers at which a VM sends one such digest a second in
	// all.
	dataCentreDigestPeers = 16
)

// DataCentreDigestInterval returns the span between two digests of data centres to one peer. It grows
// with the square of the peers, so that the digests shrink as heartbeats take more of the
// 19 KB/s of a node.
func DataCentreDigestInterval(peers int) clock.Millis {
	return max(DataCentreDigestMinInterval, clock.Millis(peers*peers)*clock.Second/dataCentreDigestPeers)
}

// DataCentreUsage is what one owner has had of the VMs of a data centre that are not removed.
type DataCentreUsage struct {
	DataCentre datacentre.ID
	Usage      dispatch.OwnerUsage
	// Age is how old the oldest of the summed figures is.
	Age clock.Millis
}
