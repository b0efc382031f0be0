package store

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
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
	f.Add([]byte(`{"incarnation":"a-1","address":"10.0.0.1:1","generation":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := DecodeVM(Row{Key: "a", Revision: 5, Value: text})
		if err == nil && (v.Incarnation == "" || v.Address == "" || v.CPU < 0 || v.CPU > maxMilliCores || v.Generation < 0 || v.Generation > maxGeneration || v.Revision != 5) {
			t.Errorf("got %+v, want an incarnation, an address, a processor share, a generation and the revision", v)
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

// Guards against crashes of other writers that convict a task, hide later crashes of an endpoint or take
// up memory without bound.
func FuzzDecodeCrashes(f *testing.F) {
	addSeeds(f)
	f.Add([]byte(`{"crashes":[{"endpoint":"i-1","incarnation":7,"shard":"centro","tasks":["a.0.0.0"],"ageMs":10,"abrupt":true,"proved":true}]}`))
	f.Add([]byte(`{"crashes":[{"endpoint":"i-1","incarnation":7,"shard":"centro","withdrawn":true,"withdrawals":9223372036854775807}]}`))
	f.Add([]byte(`{"crashes":[{"endpoint":"i-1","incarnation":-1,"shard":"centro"},{"incarnation":7,"ageMs":-9223372036854775808}]}`))
	f.Add([]byte(`{"crashes":[{"endpoint":"i-1","incarnation":7,"shard":"centro","tasks":["` + strings.Repeat(`a","`, maxCrashTasks) + `a"]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		all, _ := DecodeCrashes(Row{Key: "centro", Value: text})
		for _, r := range all {
			if r.ID.Endpoint == "" || r.ID.Incarnation <= 0 || r.Age < 0 || r.Age > crash.Retention || r.Withdrawals < 0 || r.Withdrawals > maxWithdrawals ||
				len(r.Tasks) > maxCrashTasks || len(r.Unconfirmed) > maxCrashTasks {
				t.Errorf("got %+v, want a plausible crash", r)
			}
		}
	})
}

// Guards against cancellations of other writers that take up memory without bound.
func FuzzDecodeCancellations(f *testing.F) {
	addSeeds(f)
	f.Add([]byte(`{"cancelled":[{"job":"5c0e7a21d94b36f8","origin":"h.example/q/"}]}`))
	f.Add([]byte(`{"cancelled":[{"job":"","origin":"h"},{"job":"` + strings.Repeat("a", 1000) + `"},7]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		all, _ := DecodeCancellations(Row{Key: "vm-1#0.1", Value: text})
		for _, c := range all {
			if c.Validate() != nil || len(all) > maxStoredCancellations {
				t.Errorf("got %d cancellations with %+v, want plausible ones", len(all), c)
			}
		}
	})
}

// Guards against cancellations that are other ones when they are read again.
func TestCancellationsAreReadAsWritten(t *testing.T) {
	want := []job.Cancellation{{Job: "5c0e7a21d94b36f8", Origin: "h.example/q/"}, {Job: "0000000000000001", Origin: "h/<é\"&/"}}
	text, err := EncodeCancellations(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeCancellations(Row{Value: text}); err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// Guards against a row of crashes that the platform refuses because it is too large.
func TestCrashesFitARow(t *testing.T) {
	var all []crash.Record
	for i := range 128 {
		r := crash.Record{ID: crash.ID{Endpoint: "i-1", Incarnation: endpoint.Incarnation(i + 1)}, Shard: "centro"}
		for k := range maxCrashTasks {
			r.Tasks = append(r.Tasks, job.TaskName(fmt.Sprintf("%016x.0.0.%d", i, k)))
		}
		all = append(all, r)
	}
	text, err := EncodeCrashes(all)
	if err != nil || len(text) > maxRow {
		t.Fatalf("got %d bytes and error %v, want a row of %d bytes at most", len(text), err, maxRow)
	}
	got, err := DecodeCrashes(Row{Key: "centro", Value: text})
	if err != nil || len(got) == 0 || got[len(got)-1].ID != all[len(all)-1].ID {
		t.Errorf("got %d crashes and error %v, want the latest", len(got), err)
	}
}
