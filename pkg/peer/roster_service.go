package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// rosterService receives the heartbeats of peers.
type rosterService struct {
	handler Handler
}

// Heartbeat handles a heartbeat.
func (r *rosterService) Heartbeat(request HeartbeatRequest, reply *HeartbeatReply) error {
	h := decodeHeartbeat(request)
	if !h.From.Incarnation.Valid() {
		return errors.NotValidf("handle heartbeat: sender %q: incarnation", request.From.Incarnation)
	}
	ctx, cancel := context.WithTimeout(context.Background(), entry.HeartbeatTimeout.Duration())
	defer cancel()
	answered, err := r.handler.HandleHeartbeat(ctx, h)
	if err != nil {
		return errors.Trace(err)
	}
	reply.Incarnation = string(answered)
	return nil
}

// Heartbeat sends a heartbeat and returns the incarnation that handled it.
func (c *Client) Heartbeat(ctx context.Context, to vm.VM, h entry.Heartbeat) (vm.Incarnation, error) {
	var reply HeartbeatReply
	if err := c.call(ctx, to, "Roster.Heartbeat", encodeHeartbeat(h), &reply); err != nil {
		return vm.None, errors.Trace(err)
	}
	return vm.Incarnation(reply.Incarnation), nil
}
