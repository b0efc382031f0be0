package store

import (
	"reflect"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// Guards against a proof that the store changes, and against rows of another writer that are taken
// for crashes.
func TestCrashesRow(t *testing.T) {
	want := []crash.Record{
		{ID: crash.ID{Endpoint: "e1", Incarnation: 1_700_000_000_000}, Shard: "centro", Tasks: []job.TaskName{"a.0.0.0", "b.0.0.1"}, Unconfirmed: []job.TaskName{"b.0.0.1"}, Age: 1234, Abrupt: true, Proved: true},
		{ID: crash.ID{Endpoint: "e2", Incarnation: 7}, Shard: "norte", Age: 5, Withdrawn: true, Withdrawals: 2},
	}
	body, err := EncodeCrashes(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeCrashes(Row{Key: "centro", Value: body})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
	for _, odd := range []string{"", "[]", `{"crashes":[{}]}`, `{"crashes":[{"endpoint":"e1","ageMs":-1}]}`, `{"crashes":[{"endpoint":"e1","ageMs":1e300}]}`} {
		if got, err := DecodeCrashes(Row{Key: "centro", Value: []byte(odd)}); err == nil {
			t.Errorf("row %q: got %+v, want an error", odd, got)
		}
	}
}
