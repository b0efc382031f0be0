package node_test

import (
	"math/rand/v2"
	"slices"
)

// modelOptions are the fault kinds of a world.
type modelOptions struct{ kinds []faultKind }

func (o modelOptions) enabled(k faultKind) bool { return slices.Contains(o.kinds, k) }

// chooseKinds selects some of the kinds, so that each seed combines others.
func chooseKinds(all []faultKind, random *rand.Rand) []faultKind {
	share := 0.1 + 0.5*random.Float64()
	var kinds []faultKind
	for _, k := range all {
		if random.Float64() < share {
			kinds = append(kinds, k)
		}
	}
	return kinds
}
