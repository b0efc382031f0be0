package datacentre

// EndpointID names an endpoint.
type EndpointID string

// Slots counts the tasks that an endpoint runs at the same time.
type Slots int

// Connections counts open connections.
type Connections int

// Endpoint is a back-end instance that runs tasks.
type Endpoint struct {
	ID          EndpointID
	DataCentre  ID
	Rack        RackID
	Address     string
	Slots       Slots
	Connections Connections
}
