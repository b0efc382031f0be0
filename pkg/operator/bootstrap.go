package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// bootstrapMonths is the number of months that a first bundle's calendar covers.
const bootstrapMonths = 3

// Bootstrap publishes a first bundle with a fresh key of its first owner, who has the final
// say in the present month and the next two. It returns the governance digest that
// settings pin, and the key for further sign-offs. Tests and the demo use it.
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
	m := o.months()[0]
	for range bootstrapMonths {
		g.Calendar[m] = first
		m = m.Next()
	}
	s := SignOff{Signer: first, Key: private}
	pin, err := o.Publish(ctx, &bundle.Bundle{Governance: g, Owners: owners}, s)
	return pin, s, errors.Trace(err)
}
