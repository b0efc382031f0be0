// Package operator implements the steps that put a bundle from a file into force: prepare,
// sign and roll.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// Deps holds the dependencies of an operator.
type Deps struct {
	Name  bundlestore.OperatorName
	Store *bundlestore.Store
	Clock clock.Clock
}

// Operator runs the steps in the name of one operator.
type Operator struct {
	deps Deps
}

// New returns an operator.
func New(d Deps) *Operator {
	return &Operator{deps: d}
}

// ErrConflict means that another operator has rolled or signed first.
const ErrConflict = errors.ConstError("another operator was first")

// MonthTolerance is how far a signed month may be from the operator's clock. It allows for a
// clock that is wrong by a day and for a month that ends between sign and roll. VMs do not
// compare the month with a clock, since an accepted bundle must be valid at each of them.
const MonthTolerance = 36 * clock.Hour

// validMonths returns the months that may be signed or rolled now, the current one first.
func (o *Operator) validMonths() []bundle.Month {
	now := o.deps.Clock.Now()
	return []bundle.Month{bundle.MonthOf(now), bundle.MonthOf(now - MonthTolerance), bundle.MonthOf(now + MonthTolerance)}
}

func (o *Operator) checkMonth(m bundle.Month) error {
	for _, allowed := range o.validMonths() {
		if m == allowed {
			return nil
		}
	}
	return errors.NotValidf("check month: %s is signed, but it is %s here; have the owner of the present month sign, or correct the clock: sign-off", m, o.validMonths()[0])
}

// parent is the head in force, on which the next version is based.
type parent struct {
	row      bundlestore.HeadRow
	revision platform.Revision
	// head is nil before the first roll.
	head *bundle.Head
}

func (o *Operator) parent(ctx context.Context) (parent, error) {
	row, revision, err := o.deps.Store.HeadRow(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return parent{}, nil
	}
	if err != nil {
		return parent{}, errors.Trace(err)
	}
	head, err := o.deps.Store.Head(ctx, row.Head.Digest)
	return parent{row: row, revision: revision, head: &head}, errors.Trace(err)
}

// checkChild checks that the head is a child of the one in force.
func (p parent) checkChild(h bundle.Head) error {
	if h.Parent == p.row.Head.Version && h.ParentDigest == p.row.Head.Digest {
		return nil
	}
	return conflictError(p.row, h)
}

func conflictError(winner bundlestore.HeadRow, h bundle.Head) error {
	return errors.Annotatef(ErrConflict, "version %d was prepared on version %d, but %q has rolled version %d (head %s); read it with diff and prepare again",
		h.Version, h.Parent, winner.Operator, winner.Head.Version, winner.Head.Digest)
}

const tokenBytes = 16

func newToken() bundlestore.WriterToken {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b)
	return bundlestore.WriterToken(hex.EncodeToString(b))
}
