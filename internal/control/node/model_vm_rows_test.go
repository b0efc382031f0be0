package node_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// faultVMRows lets others replace or remove the rows of VMs.
const faultVMRows faultKind = "vmRows"

// injectVMRows replaces the row of a VM by that of a former process, as an earlier version of the program may do late,
// makes it unreadable, or removes it.
func injectVMRows(w *world, random *rand.Rand) {
	v := pick(random, w.vms)
	change := "former process"
	switch random.IntN(4) {
	case 0:
		change = "unreadable"
		w.store.put(tableVMs, v.name, unreadableRow{}, -1)
	case 1:
		change = "removed"
		w.store.remove(tableVMs, v.name)
	default:
		former := v.self
		former.Incarnation = vm.NewIncarnation(vm.ID(v.name), fmt.Sprintf("%04d", random.IntN(max(v.life, 1))))
		w.store.put(tableVMs, v.name, former, -1)
	}
	w.logFault(faultVMRows, "%s: %s", v.name, change)
}
