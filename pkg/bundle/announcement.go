package bundle

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// Announcement is the news of a head that was accepted.
type Announcement struct {
	// From is the VM that has the head in force; its PeerAddress is empty when an operator
	// announces.
	From vm.VM
	Ref  Ref
	// Body is the canonical bytes of the head, or nil.
	Body []byte
}

// FromPeer reports whether a VM announces that can be asked for sections.
func (a Announcement) FromPeer() bool {
	return a.From.PeerAddress != ""
}
