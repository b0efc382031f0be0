package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// bootstrapMonths is the number of months in the calendar of a first bundle.
const bootstrapMonths = 3

// Bootstrap publishes a first bundle and generates a key for its first owner, who signs off
// versions in the current month and the next two. It returns the governance digest for the
// settings, and the sign-off with the key for later versions. Tests and the demo use it.
func (o *Operator) Bootstrap(ctx context.Context, owners []owner.Owner) (bundle.Digest, SignOff, error) {
	if len(owners) == 0 {
		return "", SignOff{}, errors.NotValidf("first bundle without owners")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return "", SignOff{}, errors.Annotate(err, "generate key")
	}
	first := owners[0].ID
	g := bundle.Governance{
		Calendar: make(bundle.Calendar),
		Keys:     map[owner.ID]bundle.PublicKey{first: bundle.PublicKey(hex.EncodeToString(public))},
	}
	m := o.validMonths()[0]
	for range bootstrapMonths {
		g.Calendar[m] = first
		m = m.Next()
	}
	s := SignOff{Signer: first, Key: private}
	pin, err := o.Publish(ctx, &bundle.Bundle{Governance: g, Owners: owners}, s)
	return pin, s, errors.Trace(err)
}
