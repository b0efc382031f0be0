package bundle

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// Announcement announces a head that was accepted.
type Announcement struct {
	// From is the VM that has the head in force. Its PeerAddress is empty when an operator
	// sends the announcement.
	From vm.VM
	Ref  Ref
	// Body is the canonical bytes of the head, or nil.
	Body []byte
}

// FromPeer reports whether the announcement comes from a VM, from which sections can be
// fetched.
func (a Announcement) FromPeer() bool {
	return a.From.PeerAddress != ""
}
