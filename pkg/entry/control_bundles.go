package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// bundleOffered puts a bundle into force if it follows the one in force. The action keeps
// the snapshots of traffic in the order of the verdicts.
func (c *Control) bundleOffered(now clock.Millis, e BundleOffered) {
	verdict := c.bundles.Offer(e.Candidate)
	if v, ok := verdict.(bundle.InForce); ok {
		c.ownersChanged(now, OwnersChanged{Owners: v.Candidate.Bundle.Owners})
		c.do(PublishBundle{Bundle: v.Candidate.Bundle})
	}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: BundleVerdict{Verdict: verdict}})
}
