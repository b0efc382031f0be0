package entry

import (
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// dataCentreDigest returns the next part of the data centre usage for a heartbeat: this data
// centre's usage for a peer in another one, and the usage received directly from other data
// centres for a peer in the same one.
func (c *Control) dataCentreDigest(now clock.Millis, to vm.VM) []accounting.DataCentreUsage {
	cursor, ok := c.dataCentreCursors[to.Incarnation]
	if now < cursor.notBefore {
		return nil
	}
	interval := accounting.DataCentreDigestInterval(len(c.peers.targets))
	if !ok {
		// Delegates change every few seconds. The starting position of a new peer depends on
		// the time, because otherwise only the first owners would ever be sent.
		cursor.next = int(now/interval) * accounting.MaxDataCentreDigestOwners
	}
	var part []accounting.DataCentreUsage
	if to.DataCentre == c.config.DataCentre {
		part = nextPart(&cursor, c.dataCentres.DirectUsage(now))
	} else {
		part = c.ownDataCentreUsage(now, nextPart(&cursor, slices.Sorted(maps.Keys(c.owners))))
	}
	cursor.notBefore = now + interval
	c.dataCentreCursors[to.Incarnation] = cursor
	return part
}

// nextPart returns the next part of a list and advances the cursor; a short list is
// returned whole.
func nextPart[T any](cursor *usageCursor, all []T) []T {
	var part []T
	for range min(len(all), accounting.MaxDataCentreDigestOwners) {
		part = append(part, all[cursor.next%len(all)])
		cursor.next = (cursor.next + 1) % len(all)
	}
	return part
}

// ownDataCentreUsage sums the usage of owners over the VMs of this data centre that are not
// removed. A sum is left out while the usage of one of these VMs is missing, as after a start
// of this VM, because it would be lower than the one that the receiver has from another
// delegate.
func (c *Control) ownDataCentreUsage(now clock.Millis, owners []owner.ID) []accounting.DataCentreUsage {
	c.accounts.Record(now, c.config.Self, c.scheduler.Usage())
	var vms []vm.Incarnation
	for _, v := range c.roster.VMs() {
		if v.DataCentre == c.config.DataCentre && v.Status != vm.Removed {
			vms = append(vms, v.Incarnation)
		}
	}
	var rows []accounting.DataCentreUsage
	for _, o := range owners {
		if u, complete := c.accounts.Sum(now, o, vms); complete {
			u.DataCentre = c.config.DataCentre
			rows = append(rows, u)
		}
	}
	return rows
}

// recordDataCentreUsage records the data centre usage in a heartbeat. A VM in another data
// centre may report only its own data centre, and a VM in this one only the others.
func (c *Control) recordDataCentreUsage(now clock.Millis, h Heartbeat, local bool) {
	for _, u := range h.DataCentres {
		if _, known := c.owners[u.Usage.Owner]; !known {
			continue
		}
		if (u.DataCentre == h.From.DataCentre) != local {
			c.dataCentres.Record(now, u, !local)
		}
	}
}
