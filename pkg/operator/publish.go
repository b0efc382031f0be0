package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
)

// Publish prepares, signs and rolls a bundle in one call, and returns the governance digest
// for the settings. Tests and the demo use it; operators run the steps separately.
func (o *Operator) Publish(ctx context.Context, b *bundle.Bundle, s SignOff) (bundle.Digest, error) {
	prepared, err := o.Prepare(ctx, b)
	if err != nil {
		return "", errors.Annotate(err, "prepare")
	}
	s.Candidate = prepared.ID
	if _, err := o.Sign(ctx, s); err != nil {
		return "", errors.Annotate(err, "sign")
	}
	if _, err := o.Roll(ctx, prepared.ID); err != nil {
		return "", errors.Annotate(err, "roll")
	}
	c, err := o.InForce(ctx)
	if err != nil {
		return "", errors.Trace(err)
	}
	return c.Head.Governance[0].Section, nil
}
