package bundlestore

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Report is the status that a VM writes to its row.
type Report struct {
	VM     vm.VM
	Status bundle.Status
}
