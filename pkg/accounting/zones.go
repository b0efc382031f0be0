package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Zones keeps the latest figures of the other data centres. Those of a data centre that is
// out of reach stay and grow old.
type Zones struct {
	zones map[datacentre.ID]map[owner.ID]zoneFigures
}

type zoneFigures struct {
	figures
	// direct says that a VM of the data centre itself told them.
	direct bool
}

// NewZones returns zones without figures.
func NewZones() *Zones {
	return &Zones{zones: make(map[datacentre.ID]map[owner.ID]zoneFigures)}
}

// Told takes figures of another data centre, from one of its VMs or passed on by a peer.
func (z *Zones) Told(clock.Millis, ZoneUsage, bool) {}
