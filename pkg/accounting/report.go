// Package accounting sums up the usage of each owner over VMs and data centres, for reports that
// every owner may read.
package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Report is the usage of all owners, from the figures that one VM has received.
type Report struct {
	// InForce is the bundle version in force.
	InForce bundle.Version
	// SignOffs are the sign-offs of the latest bundle versions, highest version first.
	SignOffs []bundle.SignedVersion
	// Owners holds the sums of each owner over all data centres.
	Owners []OwnerReport
	// DataCentres includes the data centre of the reporting VM.
	DataCentres []DataCentreReport
	// VMs are the VMs in the data centre of the reporting VM.
	VMs []VMReport
}

// DataCentreReport holds the figures of one data centre.
type DataCentreReport struct {
	DataCentre datacentre.ID
	// Age is the age of the oldest figure.
	Age   clock.Millis
	Usage []dispatch.OwnerUsage
}

// OwnerReport holds the sums of one owner.
type OwnerReport struct {
	Owner owner.ID
	Share owner.Share
	Usage dispatch.OwnerUsage
}

// VMReport holds the figures that one VM reported, counted from the start of the VM.
type VMReport struct {
	VM vm.Incarnation
	// Age is the age of the VM's oldest figure.
	Age   clock.Millis
	Usage []dispatch.OwnerUsage
}
