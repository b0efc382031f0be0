// Package accounting tells every owner what each owner has had of the service.
package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Report is the open accounting as one VM knows it.
type Report struct {
	// InForce is the version in force.
	InForce bundle.Version
	// SignOffs are those of the latest versions, the highest first.
	SignOffs []bundle.SignedVersion
	// Owners sums up the owners over the data centres.
	Owners []OwnerReport
	// DataCentres are the data centres, the one of the VM that reports among them.
	DataCentres []DataCentreReport
	// VMs are those of the data centre of the VM that reports.
	VMs []VMReport
}

// DataCentreReport is what is known of one data centre.
type DataCentreReport struct {
	DataCentre datacentre.ID
	// Age is how old the oldest of the figures is; none is older.
	Age   clock.Millis
	Usage []dispatch.OwnerUsage
}

// OwnerReport sums up an owner.
type OwnerReport struct {
	Owner owner.ID
	Share owner.Share
	Usage dispatch.OwnerUsage
}

// VMReport is what one VM has told. The figures count from the start of the VM.
type VMReport struct {
	VM vm.Incarnation
	// Age is how old the oldest of the VM's figures is; none is older.
	Age   clock.Millis
	Usage []dispatch.OwnerUsage
}
