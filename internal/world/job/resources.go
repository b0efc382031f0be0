package job

import "math"

// MilliCores is processor capacity in thousandths of a core.
type MilliCores int64

// Megabytes is an amount of memory.
type Megabytes int64

// Accelerators counts accelerators.
type Accelerators int

// Slots counts tasks. Each occupies one at its endpoint, whatever else it needs.
type Slots int

// Resources are what a task occupies, or what an endpoint offers.
type Resources struct {
	CPU          MilliCores
	Memory       Megabytes
	Accelerators Accelerators
	Slots        Slots
}

// Fits reports whether the resources cover the demand.
func (r Resources) Fits(demand Resources) bool {
	return r.CPU >= demand.CPU && r.Memory >= demand.Memory && r.Accelerators >= demand.Accelerators && r.Slots >= demand.Slots
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators, Slots: r.Slots + o.Slots}
}

// Minus returns the resources without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators, Slots: r.Slots - o.Slots}
}

// Times returns the resources of n times as much.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * MilliCores(n), Memory: r.Memory * Megabytes(n), Accelerators: r.Accelerators * Accelerators(n), Slots: r.Slots * Slots(n)}
}

// Count returns how many times the resources cover the demand.
func (r Resources) Count(demand Resources) int {
	n := math.MaxInt32
	if demand.CPU > 0 {
		n = min(n, int(max(r.CPU, 0)/demand.CPU))
	}
	if demand.Memory > 0 {
		n = min(n, int(max(r.Memory, 0)/demand.Memory))
	}
	if demand.Accelerators > 0 {
		n = min(n, int(max(r.Accelerators, 0)/demand.Accelerators))
	}
	if demand.Slots > 0 {
		n = min(n, int(max(r.Slots, 0)/demand.Slots))
	}
	return n
}
