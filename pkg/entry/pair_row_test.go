package entry

import (
	"context"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// fakeTable holds at most one row. A lost write takes effect but is not confirmed.
type fakeTable struct {
	platform.Table
	value              []byte
	down, lost, unread bool
}

func (f *fakeTable) Put(_ context.Context, _ platform.Key, _ platform.Revision, value []byte) (platform.Revision, error) {
	switch {
	case f.down:
		return 0, platform.ErrUnavailable
	case f.value != nil:
		return 0, platform.ErrConflict
	}
	f.value = value
	if f.lost {
		return 0, platform.ErrUnavailable
	}
	return 1, nil
}

func (f *fakeTable) Get(context.Context, platform.Key) (platform.Row, error) {
	switch {
	case f.down || f.unread:
		return platform.Row{}, platform.ErrUnavailable
	case f.value == nil:
		return platform.Row{}, platform.ErrNotFound
	}
	return platform.Row{Revision: 1, Value: f.value}, nil
}

// TestDecidePairRow guards against a fence or release that is assumed although the other
// side wrote first, or although the outcome of the write is unknown.
func TestDecidePairRow(t *testing.T) {
	cases := []struct {
		name  string
		table fakeTable
		want  contract.PairRow
	}{
		{"first writer", fakeTable{}, contract.PairFencedByWitness},
		{"written, answer lost", fakeTable{lost: true}, contract.PairFencedByWitness},
		{"written, answer lost, cannot be read", fakeTable{lost: true, unread: true}, contract.PairRowUnknown},
		{"issuer was first", fakeTable{value: []byte(releasedByIssuer)}, contract.PairReleasedByIssuer},
		{"own earlier write", fakeTable{value: []byte(fencedByWitness)}, contract.PairFencedByWitness},
		{"platform down", fakeTable{down: true}, contract.PairRowUnknown},
		{"row with other content", fakeTable{value: []byte("x")}, contract.PairRowUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := decidePairRow(context.Background(), &tc.table, contract.Pair{Issuer: "a-1", Witness: "b-1"}, contract.PairFencedByWitness)
			if got != tc.want {
				t.Errorf("row: got %d, want %d", got, tc.want)
			}
		})
	}
}
