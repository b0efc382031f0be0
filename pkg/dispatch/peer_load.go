package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

// PeerLoad is the total load of all peers.
type PeerLoad struct {
	// Slots is the number of slots that peers can use, and UrgentSlots the number that they
	// would lend for tasks of rank 0 as slots become free.
	Slots, UrgentSlots datacentre.Slots

	work slotMillis
}
