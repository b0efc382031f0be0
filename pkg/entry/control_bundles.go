package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// handleBundleOffered puts a bundle into force if it follows the current one. PublishBundle is
// an action so that traffic goroutines see bundles in the order of the decisions.
func (c *Control) handleBundleOffered(now clock.Millis, e BundleOffered) {
	verdict := c.bundles.Offer(e.Candidate)
	if v, ok := verdict.(bundle.InForce); ok {
		c.handleOwnersChanged(now, OwnersChanged{Owners: v.Candidate.Bundle.Owners})
		c.emit(PublishBundle{Bundle: v.Candidate.Bundle})
	}
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: BundleVerdict{Verdict: verdict}})
}
