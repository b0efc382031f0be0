package vm

// Status is the state of one VM as another has determined it.
type Status int

// The statuses. A removed VM is no longer a home VM or a witness, but stays in the roster, so that
// ids that name it can still be answered.
const (
	Alive Status = iota
	Suspected
	Removed
)

// String returns the status as it appears in logs.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	default:
		return "removed"
	}
}

// usable reports whether the VM may be a home VM, a witness or a delegate.
func (v VM) usable() bool {
	return !v.Leaving && v.Status != Removed
}
