package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
)

func gobRoundTrip[T any](t *testing.T, sent T) (received T) {
	t.Helper()
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(sent); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&wire).Decode(&received); err != nil {
		t.Fatal(err)
	}
	return received
}

// Guards against a field of a loan request or its reply that is lost in encoding.
func TestLoanRoundTrip(t *testing.T) {
	id := loan.ID{Request: loan.RequestID{Borrower: "a-1", Sequence: 2}, Endpoint: "e1"}
	request := loan.Request{
		ID:       loan.RequestID{Borrower: "a-1", Sequence: 3},
		Need:     dispatch.LoanNeed{Tasks: 4, Wait: 5, UrgentTasks: 6, UrgentWait: 7, Slots: 8, AskedPeers: 9},
		Renewals: []loan.ID{id},
	}
	if got := decodeLoanRequest(gobRoundTrip(t, encodeLoanRequest(request))); !reflect.DeepEqual(got, request) {
		t.Errorf("got request %+v, want %+v", got, request)
	}
	endpoint := datacentre.Endpoint{ID: "e1", DataCentre: "centro", Rack: "r1", Address: "e:1", Slots: 8, Connections: 64}
	grant := loan.Grant{Loans: []loan.Loan{{ID: id, Endpoint: endpoint, Slots: 4}}, Lendable: 5}
	if got := decodeGrant(gobRoundTrip(t, encodeGrant(grant))); !reflect.DeepEqual(got, grant) {
		t.Errorf("got grant %+v, want %+v", got, grant)
	}
}
