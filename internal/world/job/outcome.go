package job

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Outcome is how a submission ends at a home. It is one of the types of this file.
type Outcome interface{ outcome() }

// Completed means that all tasks are done.
type Completed struct{}

// Failed means that a task failed as often as its queue allows.
type Failed struct{ Task TaskName }

// Refused means that no task of the key has run or will run.
type Refused struct {
	Reason     Reason
	RetryAfter clock.Millis
}

// Redirected means that nothing ran here and that another cell has room.
type Redirected struct{ To shard.ID }

// Divided means that nothing ran here, and that several cells together have room now.
type Divided struct{ Shares []Share }

// Share is a number of a job's tasks for a cell.
type Share struct {
	Cell  shard.ID
	Tasks int
}

// Moved means that the home has given up its cell. Runs of the job go on until the new
// home has taken them over or their leases lapse.
type Moved struct{}

// Stopped means that the home has stopped what ran for the key, or lets it lapse.
type Stopped struct{ Reason Reason }

// Unanswered means that the home gave no answer; tasks may be running there.
type Unanswered struct{ Cause string }

func (Completed) outcome()  {}
func (Failed) outcome()     {}
func (Refused) outcome()    {}
func (Redirected) outcome() {}
func (Divided) outcome()    {}
func (Moved) outcome()      {}
func (Stopped) outcome()    {}
func (Unanswered) outcome() {}

// Reason says why a job was not served.
type Reason string

// The reasons.
const (
	NoDesiredState     Reason = "noDesiredState"
	NoLeader           Reason = "noHome"
	NoCapacityInTime   Reason = "noRoomInTime"
	NoSuchEndpoint     Reason = "noEndpointFits"
	LateMessage        Reason = "messageHeldUp"
	NotLeader          Reason = "notHome"
	Unsupported        Reason = "unsupportedJob"
	Draining           Reason = "draining"
	CallerDisconnected Reason = "callerGone"
	TimeLimit          Reason = "timeLimit"
	LeaseLapsed        Reason = "interestLapsed"
	Superseded         Reason = "superseded"
	ShardLost          Reason = "cellLost"
)
