package peer

// AnnounceRequest names a head that has come into force at a peer. An operator's
// announcement names no peer.
type AnnounceRequest struct {
	Incarnation string
	PeerAddress string
	Version     uint64
	Head        string
	Body        []byte
}

// FetchRequest asks for heads and sections by digest.
type FetchRequest struct{ Digests []string }

// FetchReply carries what the peer has.
type FetchReply struct{ Bodies map[string][]byte }

// StatusReply carries what a VM says of bundles.
type StatusReply struct {
	Version  uint64
	Head     string
	Prepared []WireReadiness
}

// WireReadiness is a candidate's readiness on the wire.
type WireReadiness struct {
	Candidate string
	Version   uint64
	Ready     bool
	Reason    string
}

// Empty is a request or reply without content.
type Empty struct{}
