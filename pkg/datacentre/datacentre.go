// Package datacentre describes data centres and the endpoints in them.
package datacentre

// ID names a data centre.
type ID string

// RegionID names a region of data centres.
type RegionID string

// RackID names a rack within a data centre.
type RackID string

// DataCentre is a data centre with its own entry VMs and endpoints.
type DataCentre struct {
	ID        ID
	Region    RegionID
	Endpoints []Endpoint
}
