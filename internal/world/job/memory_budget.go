package job

import "github.com/sequoiacart/sequoiacart/internal/world/link"

// MemoryBudget is the memory that jobs may take in a VM. It belongs to the control goroutine.
type MemoryBudget struct {
	limit, taken link.Bytes
}

const (
	// jobBytes and taskBytes are what a job and a task take in a VM beside the texts of the job: their state, the
	// goroutines that wait for the outcome, and the records of attempts that have ended.
	jobBytes  = link.Bytes(8 << 10)
	taskBytes = link.Bytes(1 << 10)
	// stepBytes is what a step takes beside its texts, and dependencyBytes what an entry of its After does. An entry is
	// small, but each plan follows it, so that few jobs may have many.
	stepBytes       = link.Bytes(256)
	dependencyBytes = link.Bytes(64)
	// smallBytes is the size up to which jobs may use all of the budget, and largeShare the part that larger ones may
	// use: most jobs have a few tasks, and a crowd of large ones must not keep them out.
	smallBytes = link.Bytes(64 << 10)
	largeShare = 0.75
)

// NewMemoryBudget returns a budget of which nothing is taken; 0 means no limit.
func NewMemoryBudget(limit link.Bytes) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Take takes memory for a job. It reports false if there is too little left. A job that is alone always gets it.
func (b *MemoryBudget) Take(n link.Bytes) bool {
	limit := b.limit
	if n > smallBytes {
		limit = link.Bytes(float64(limit) * largeShare)
	}
	if b.limit > 0 && b.taken > 0 && b.taken+n > limit {
		return false
	}
	b.taken += n
	return true
}

// Release returns the memory of a job.
func (b *MemoryBudget) Release(n link.Bytes) { b.taken -= n }

// Taken returns the memory that jobs have taken.
func (b *MemoryBudget) Taken() link.Bytes { return b.taken }

// Footprint is the memory that a job takes in a VM, without its tasks.
func (j *Job) Footprint() link.Bytes {
	n := jobBytes + link.Bytes(len(j.Payload))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + dependencyBytes*link.Bytes(len(s.After)) + link.Bytes(len(s.Rack)+len(s.Requires))
	}
	return n
}

// FootprintAtLeader is the memory that a job takes in the VM that starts its tasks.
func (j *Job) FootprintAtLeader() link.Bytes { return j.Footprint() + taskBytes*link.Bytes(j.Tasks()) }
