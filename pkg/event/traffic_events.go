package event

// The events of traffic. Those about single requests are warnings that are held back
// when they repeat.
const (
	PeerRefused        Number = "SQ-4001"
	CallerUnauthorized Number = "SQ-5001"
	CallerBadInput     Number = "SQ-5002"
	EndpointUnusable   Number = "SQ-6001"
)
