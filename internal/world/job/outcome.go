package job

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Outcome is how a submission ends at a leader. It is one of the types of this file.
type Outcome interface{ outcome() }

// Completed means that all tasks are done.
type Completed struct{}

// Failed means that a task failed as often as its queue allows.
type Failed struct{ Task TaskName }

// Cancelled means that the caller has cancelled the job. Attempts that were running are stopped, and no task
// starts any more.
type Cancelled struct{}

// Refused means that no task of the key has run or will run.
type Refused struct {
	Reason     Reason
	RetryAfter clock.Millis
}

// Redirected means that nothing ran at this leader and that another shard has capacity for the job.
type Redirected struct{ To shard.ID }

// Divided means that nothing ran at this leader, and that several shards together have capacity for
// the job now or in time.
type Divided struct{ Shares []Share }

// Share is a number of a job's tasks for a shard.
type Share struct {
	// Cell is the shard; the field name is sent.
	Cell  shard.ID
	Tasks int
}

// Moved means that the leader has stepped down. Attempts of the job continue until the new
// leader has taken them over or their leases expire.
type Moved struct{}

// Stopped means that the leader has stopped the attempts of the key, or lets their leases expire.
type Stopped struct{ Reason Reason }

// Unanswered means that the leader gave no answer; tasks may be running there.
type Unanswered struct{ Cause string }

func (Completed) outcome()  {}
func (Failed) outcome()     {}
func (Cancelled) outcome()  {}
func (Refused) outcome()    {}
func (Redirected) outcome() {}
func (Divided) outcome()    {}
func (Moved) outcome()      {}
func (Stopped) outcome()    {}
func (Unanswered) outcome() {}

// Reason says why a job was not served.
type Reason string

// The reasons. Their texts are sent and logged and keep older words: home for leader, cell for
// shard, room for capacity, and interest for job lease.
const (
	NoDesiredState     Reason = "noDesiredState"
	NoLeader           Reason = "noHome"
	NoCapacityInTime   Reason = "noRoomInTime"
	NoSuchEndpoint     Reason = "noEndpointFits"
	LateMessage        Reason = "messageHeldUp"
	NotLeader          Reason = "notHome"
	Unsupported        Reason = "unsupportedJob"
	Malformed          Reason = "malformedMessage"
	Draining           Reason = "draining"
	CallerDisconnected Reason = "callerGone"
	TimeLimit          Reason = "timeLimit"
	LeaseExpired       Reason = "interestLapsed"
	Superseded         Reason = "superseded"
	IDInUse            Reason = "idInUse"
	NotStored          Reason = "notStored"
	ShardLost          Reason = "cellLost"
	// TooManyJobs means that the VM of the caller or of the leader has as many jobs as it may, or no memory for another.
	TooManyJobs Reason = "tooManyJobs"
	// TooManyCancellations means that as many requests to cancel a job wait at the VM as may.
	TooManyCancellations Reason = "tooManyCancellations"
	// Evacuated means that no task may start in the data centre, and that no other one can take the job.
	Evacuated Reason = "dataCentreEvacuated"
)
