package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

// PeerLoad is the load of all peers together.
type PeerLoad struct {
	// Slots counts the slots that peers may use, UrgentSlots those that they would free for
	// tasks of rank 0.
	Slots, UrgentSlots datacentre.Slots

	work slotMillis
}
