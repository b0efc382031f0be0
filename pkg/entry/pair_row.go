package entry

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

const (
	pairPrefix       platform.Key = "pair/"
	fencedByWitness               = "fencedByWitness"
	releasedByIssuer              = "releasedByIssuer"
)

// decidePairRow writes the row of a pair if it is absent. After a failure the row is read
// back, since the write may have taken effect or another VM may have written it earlier.
func decidePairRow(ctx context.Context, t platform.Table, p contract.Pair, wanted contract.PairRow) contract.PairRow {
	key := pairPrefix + platform.Key(p.Issuer) + "/" + platform.Key(p.Witness)
	value := releasedByIssuer
	if wanted == contract.PairFencedByWitness {
		value = fencedByWitness
	}
	if _, err := t.Put(ctx, key, 0, []byte(value)); err == nil {
		return wanted
	}
	row, err := t.Get(ctx, key)
	if err != nil {
		return contract.PairRowUnknown
	}
	switch string(row.Value) {
	case fencedByWitness:
		return contract.PairFencedByWitness
	case releasedByIssuer:
		return contract.PairReleasedByIssuer
	}
	return contract.PairRowUnknown
}
