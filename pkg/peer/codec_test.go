package peer

import (
	"reflect"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const testIssuer = "a-1"

func testRecordID() contract.SubmissionID {
	return contract.SubmissionID{DataCentre: "dc", Issuer: testIssuer, Witness: "b-1", IssuedAt: 7, Sequence: 1}
}

// TestRecords guards against records that change in encoding, and against records with which
// a faulty peer could crash the witness or make it allocate without bound.
func TestRecords(t *testing.T) {
	id := testRecordID()
	start := contract.StartRecord{ID: id, Owner: "o", TaskCount: 3, Digest: contract.Digest{2}, Tasks: []contract.TaskIndex{0, 2}}
	settle := contract.SettleRecord{ID: id, Owner: "o", Digest: contract.Digest{1}, Answer: contract.Complete{Results: [][]byte{{}, {1}}}}
	change := func(edit func(*WireRecord)) []WireRecord {
		w := encodeRecord(start)
		edit(&w)
		return []WireRecord{w}
	}
	cases := []struct {
		name    string
		issuer  string
		records []WireRecord
		want    []contract.Record
	}{
		{"start and settlement", testIssuer, []WireRecord{encodeRecord(start), encodeRecord(settle)}, []contract.Record{start, settle}},
		{"no issuer", "", nil, nil},
		{"too many records", testIssuer, make([]WireRecord, maxRecords+1), nil},
		{"huge task count", testIssuer, change(func(w *WireRecord) { w.TaskCount = 1 << 40 }), nil},
		{"negative task count", testIssuer, change(func(w *WireRecord) { w.TaskCount = -1 }), nil},
		{"task beyond the count", testIssuer, change(func(w *WireRecord) { w.Tasks[0] = 3 }), nil},
		{"more tasks than the count", testIssuer, change(func(w *WireRecord) { w.TaskCount = 1 }), nil},
		{"long owner", testIssuer, change(func(w *WireRecord) { w.Owner = string(make([]byte, maxOwnerBytes+1)) }), nil},
		{"malformed id", testIssuer, change(func(w *WireRecord) { w.ID = "x" }), nil},
		{"unknown kind", testIssuer, change(func(w *WireRecord) { w.Kind = 9 }), nil},
		{"settlement without a final answer", testIssuer, change(func(w *WireRecord) {
			w.Kind, w.Answer = kindSettle, encodeAnswer(contract.Running{})
		}), nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := decodeRecords(tc.issuer, tc.records)
			if (err == nil) != (tc.want != nil) {
				t.Fatalf("error: got %v, want one: %t", err, tc.want == nil)
			}
			if tc.want != nil && !reflect.DeepEqual(got, tc.want) {
				t.Errorf("records: got %v, want %v", got, tc.want)
			}
		})
	}
}
