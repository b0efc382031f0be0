package peer

// AnnounceRequest announces a head that came into force at a peer. The announcement of an
// operator names no peer. Head, a name that is sent, is the digest of the head.
type AnnounceRequest struct {
	Incarnation string
	PeerAddress string
	Version     uint64
	Head        string
	// Body is the canonical bytes of the head, or nil.
	Body []byte
}

// FetchRequest requests heads and sections by digest.
type FetchRequest struct{ Digests []string }

// FetchReply carries the requested bytes that the peer has, by digest.
type FetchReply struct{ Bodies map[string][]byte }

// StatusReply carries the bundle status of a VM. Head, a name that is sent, is the digest of
// the head in force.
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
