package store

import (
	"math"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
)

// addSeeds adds texts that no row of the product has.
func addSeeds(f *testing.F) {
	f.Helper()
	for _, text := range []string{"", "{", "null", "[]", "\xff\x00", strings.Repeat("[", 20000), `{"members":7}`} {
		f.Add([]byte(text))
	}
}

// Guards against rows of other writers that end the process, or are accepted as VMs that cannot be
// called.
func FuzzDecodeVM(f *testing.F) {
	addSeeds(f)
	f.Add([]byte(`{"incarnation":"a-1","address":"10.0.0.1:1","dataCentre":"centro","milliCores":400}`))
	f.Add([]byte(`{"incarnation":"a-1","address":"10.0.0.1:1","milliCores":-9223372036854775808}`))
	f.Add([]byte(`{"incarnation":"a-1","milliCores":1e300}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := DecodeVM(Row{Key: "a", Revision: 5, Value: text})
		if err == nil && (v.Incarnation == "" || v.Address == "" || v.CPU < 0 || v.CPU > maxMilliCores || v.Revision != 5) {
			t.Errorf("got %+v, want an incarnation, an address, a processor share and the revision", v)
		}
	})
}

// Guards against replica sets with members that cannot be called, or with so many that their tokens
// overlap those of the next one.
func FuzzDecodeReplicaSet(f *testing.F) {
	addSeeds(f)
	f.Add([]byte(`{"members":[{"incarnation":"a-1","address":"10.0.0.1:1"},{"incarnation":"b-1","address":"10.0.0.2:1"}]}`))
	f.Add([]byte(`{"members":[{"address":"10.0.0.1:1"},{}]}`))
	f.Add([]byte(`{"members":[` + strings.Repeat(`{"incarnation":"a-1","address":"x"},`, shard.MaxMembers) + `{"incarnation":"a-1","address":"x"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := DecodeReplicaSet(Row{Key: "centro", Revision: 5, Value: text})
		if err != nil {
			return
		}
		next := shard.ReplicaSet{Cell: "centro", Revision: 6}
		for rank, m := range s.Members {
			if m.Incarnation == "" || m.Address == "" || s.Token(rank).InEpoch(shard.MaxEpoch) >= next.Token(0) {
				t.Errorf("got member %d: %+v, want an incarnation, an address and a token below those of the next replica set", rank, m)
			}
		}
	})
}

// Guards against estimates whose durations overflow, or whose number of samples a leader divides by.
func FuzzDecodeEstimates(f *testing.F) {
	addSeeds(f)
	f.Add([]byte(`{"speeds":{"i-1":{"log":0.3,"samples":12}},"works":{"r1":{"log":4.5,"samples":64}}}`))
	f.Add([]byte(`{"speeds":{"i-1":{"log":1e308,"samples":-1}},"works":{"r1":{"log":-1e308,"samples":9223372036854775807}}}`))
	f.Add([]byte(`{"works":{"r1":{"log":1e309,"samples":1}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := DecodeEstimates(Row{Key: "centro", Value: text})
		if err != nil {
			return
		}
		for id, m := range e.Speeds {
			if math.IsNaN(m.Log) || math.Exp(math.Abs(m.Log)) > math.MaxInt64/1000 || m.Samples < 1 || m.Samples >= math.MaxInt32 {
				t.Errorf("%s: got %+v, want a plausible speed", id, m)
			}
		}
		for name, m := range e.Works {
			if math.IsNaN(m.Log) || math.Exp(math.Abs(m.Log)) > math.MaxInt64/1000 || m.Samples < 1 || m.Samples >= math.MaxInt32 {
				t.Errorf("%s: got %+v, want a plausible duration", name, m)
			}
		}
	})
}
