// Package accounting tells every owner what each owner has had of the service.
package accounting

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Report is the open accounting of one data centre, as one of its VMs knows it.
type Report struct {
	// InForce is the version in force.
	InForce bundle.Version
	// SignOffs are those of the latest versions, the highest first.
	SignOffs []bundle.SignedVersion
	Owners   []OwnerReport
	VMs      []VMReport
}

// OwnerReport sums up an owner over the VMs.
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
