package bundlestore

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Report is what a VM says of itself in its row.
type Report struct {
	VM     vm.VM
	Status bundle.Status
}
