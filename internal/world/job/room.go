package job

import "github.com/sequoiacart/sequoiacart/internal/world/link"

// Room is the memory that jobs may take in a VM. It belongs to the control goroutine.
type Room struct {
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
	// smallBytes is the size up to which jobs may use all of the room, and largeShare the part that larger ones may
	// use: most jobs have a few tasks, and a crowd of large ones must not keep them out.
	smallBytes = link.Bytes(64 << 10)
	largeShare = 0.75
)

// NewRoom returns a room without jobs; 0 means no limit.
func NewRoom(limit link.Bytes) *Room { return &Room{limit: limit} }

// Take takes memory for a job. It reports false if there is too little left. A job that is alone always has room.
func (r *Room) Take(n link.Bytes) bool {
	limit := r.limit
	if n > smallBytes {
		limit = link.Bytes(float64(limit) * largeShare)
	}
	if r.limit > 0 && r.taken > 0 && r.taken+n > limit {
		return false
	}
	r.taken += n
	return true
}

// Release returns the memory of a job.
func (r *Room) Release(n link.Bytes) { r.taken -= n }

// Taken returns the memory that jobs have taken.
func (r *Room) Taken() link.Bytes { return r.taken }

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
