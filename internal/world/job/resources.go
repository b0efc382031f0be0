package job

// MilliCores is processor capacity in thousandths of a core.
type MilliCores int64

// Megabytes is an amount of memory.
type Megabytes int64

// Accelerators counts accelerators.
type Accelerators int

// Resources is what a task occupies, or what an endpoint has.
type Resources struct {
	CPU          MilliCores
	Memory       Megabytes
	Accelerators Accelerators
}

// Fits reports whether the demand fits into the room.
func (r Resources) Fits(demand Resources) bool {
	return r.CPU >= demand.CPU && r.Memory >= demand.Memory && r.Accelerators >= demand.Accelerators
}

// Plus adds two rooms.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus takes o from the room.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}
