package vm

// Status is what one VM has heard of another.
type Status int

// The statuses. A removed VM is no longer a home or a witness, but stays known, so that
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

// usable reports whether the VM may be a home, a witness or a delegate.
func (v VM) usable() bool {
	return !v.Leaving && v.Status != Removed
}
