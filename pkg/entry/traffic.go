package entry

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// EndpointRunner sends tasks to endpoints.
type EndpointRunner interface {
	Run(ctx context.Context, to datacentre.Endpoint, attempt contract.AttemptID, payload []byte, deadline clock.Millis) contract.AttemptResult
}

// RecordSender sends records to a witness.
type RecordSender interface {
	Record(ctx context.Context, witness vm.VM, issuer vm.Incarnation, records []contract.Record) ([]contract.RecordStatus, error)
}

// TrafficConfig holds what traffic is made of.
type TrafficConfig struct {
	Self      vm.Incarnation
	Endpoints EndpointRunner
	Witnesses RecordSender
	// Publish hands a bundle that came into force to the other traffic goroutines. It
	// does not wait.
	Publish func(*bundle.Bundle)
	// PeerTimeout bounds one call to a peer.
	PeerTimeout clock.Millis
}

// Traffic carries out actions, each on a goroutine of its own. The number of attempts is
// bounded by the slots, the number of batches by the witnesses.
type Traffic struct {
	config TrafficConfig
	loop   *Loop
}

// NewTraffic returns traffic that is not yet attached to a loop.
func NewTraffic(c TrafficConfig) *Traffic {
	return &Traffic{config: c}
}

// Attach names the loop that hears of the ends of actions.
func (t *Traffic) Attach(l *Loop) {
	t.loop = l
}

// Execute implements Executor.
func (t *Traffic) Execute(a Action) {
	switch a := a.(type) {
	case RunAttempt:
		go t.runAttempt(a)
	case SendRecords:
		go t.sendRecords(a)
	case PublishBundle:
		if t.config.Publish != nil {
			t.config.Publish(a.Bundle)
		}
	}
}

func (t *Traffic) runAttempt(a RunAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline.Duration())
	defer cancel()
	result := t.config.Endpoints.Run(ctx, a.Endpoint, a.Attempt, a.Payload, a.Deadline)
	t.loop.Post(context.Background(), AttemptEnded{Attempt: a.Attempt, Start: a.Start, Result: result})
}

func (t *Traffic) sendRecords(a SendRecords) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	statuses, err := t.config.Witnesses.Record(ctx, a.Witness, t.config.Self, a.Records)
	if err != nil {
		statuses = nil
	}
	t.loop.Post(context.Background(), RecordsAnswered{Witness: a.Witness.Incarnation, Statuses: statuses})
}
