package dispatch

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against wasted requests to peers that have nothing to lend, and against a repeated
// request to a peer without backoff after an answer without a grant.
func TestLoanRequestTargets(t *testing.T) {
	type answer struct {
		peer vm.Incarnation
		left SlotReport
	}
	peers := []vm.Incarnation{"a-1", "b-1", "c-1"}
	tests := []struct {
		name    string
		reports map[vm.Incarnation]SlotReport
		answers []answer
		wait    clock.Millis
		tasks   int
		want    []vm.Incarnation
	}{
		{name: "no reports", tasks: 5, wait: 500},
		{name: "most idle first", reports: map[vm.Incarnation]SlotReport{"a-1": {Lendable: 2}, "b-1": {Lendable: 9}}, tasks: 5, wait: 20, want: []vm.Incarnation{"b-1"}},
		{name: "several for a large need", reports: map[vm.Incarnation]SlotReport{"a-1": {Lendable: 2}, "b-1": {Lendable: 9}}, tasks: 10, wait: 20, want: []vm.Incarnation{"b-1", "a-1"}},
		{name: "deferred loan from the peer with the shorter wait", reports: map[vm.Incarnation]SlotReport{"a-1": {Wait: 450}, "b-1": {Wait: 100}}, tasks: 5, wait: 500, want: []vm.Incarnation{"b-1"}},
		{name: "no deferred loan for a short wait", reports: map[vm.Incarnation]SlotReport{"b-1": {Wait: 10}}, tasks: 5, wait: 50},
		{name: "wait shorter than the round trip", reports: map[vm.Incarnation]SlotReport{"b-1": {Lendable: 9}}, tasks: 1, wait: 2},
		{name: "backoff after an answer without a grant", reports: map[vm.Incarnation]SlotReport{"b-1": {Lendable: 9}}, answers: []answer{{peer: "b-1", left: SlotReport{Lendable: 9}}}, tasks: 5, wait: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			planner := NewLoanPlanner()
			for id, report := range tt.reports {
				planner.RecordReport(id, report)
			}
			now := clock.Hour
			for _, a := range tt.answers {
				planner.RecordAnswer(now, a.peer, 0, a.left)
			}
			var got []vm.Incarnation
			asked := 0
			for _, request := range planner.Plan(now, LoanNeed{Tasks: tt.tasks, Wait: tt.wait}, peers) {
				got = append(got, request.Peer)
				asked += request.Need.Tasks
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got requests to %v, want %v", got, tt.want)
			}
			if len(got) > 0 && asked != tt.tasks {
				t.Errorf("got %d slots asked for, want %d", asked, tt.tasks)
			}
			if again := planner.Plan(now, LoanNeed{Tasks: tt.tasks, Wait: tt.wait}, tt.want); len(again) > 0 {
				t.Errorf("got %d more requests while the first are in flight, want none", len(again))
			}
		})
	}
}
