package event

// Events of traffic. They are logged as warnings, so that repeats are suppressed.
const (
	PeerRefused        Number = "SQ-4001"
	CallerUnauthorized Number = "SQ-5001"
	CallerBadInput     Number = "SQ-5002"
	EndpointUnusable   Number = "SQ-6001"
)
