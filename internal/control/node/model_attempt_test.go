package node_test

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
)

// modelAttempt is an attempt at an endpoint.
type modelAttempt struct {
	endpoint  *modelEndpoint
	life      int
	task      job.TaskName
	number    job.Attempt
	token     shard.Token
	startedAt micros
	endsAt    micros
	end       endpoint.End
	ended     bool
}

// running reports whether the attempt runs on an endpoint that is up.
func (a *modelAttempt) running() bool {
	return !a.ended && a.endpoint.up && a.endpoint.life == a.life
}

func (a *modelAttempt) String() string {
	return fmt.Sprintf("attempt %d at %s (life %d, token %s, started %s)", a.number, a.endpoint.id, a.life, formatToken(a.token), formatTime(a.startedAt))
}
