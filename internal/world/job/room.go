package job

// MilliCores is processor capacity in thousandths of a core.
type MilliCores int64

// Megabytes is an amount of memory.
type Megabytes int64

// Accelerators counts accelerators.
type Accelerators int

// Room is what a task occupies, or what an endpoint has.
type Room struct {
	CPU          MilliCores
	Memory       Megabytes
	Accelerators Accelerators
}

// Holds reports whether the demand fits into the room.
func (r Room) Holds(demand Room) bool {
	return r.CPU >= demand.CPU && r.Memory >= demand.Memory && r.Accelerators >= demand.Accelerators
}

// Plus adds two rooms.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus takes o from the room.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}
