package dispatch

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against requests to peers that have nothing to lend, which are wasted messages,
// and against asking a peer again at once after an empty answer.
func TestLoanRequestsGoWhereSlotsAre(t *testing.T) {
	type answer struct {
		peer vm.Incarnation
		left SlotReport
	}
	peers := []vm.Incarnation{"a-1", "b-1", "c-1"}
	tests := []struct {
		name    string
		told    map[vm.Incarnation]SlotReport
		answers []answer
		wait    clock.Millis
		tasks   int
		want    []vm.Incarnation
	}{
		{name: "nothing told", tasks: 5, wait: 500},
		{name: "most idle first", told: map[vm.Incarnation]SlotReport{"a-1": {Lendable: 2}, "b-1": {Lendable: 9}}, tasks: 5, wait: 20, want: []vm.Incarnation{"b-1"}},
		{name: "several for a large need", told: map[vm.Incarnation]SlotReport{"a-1": {Lendable: 2}, "b-1": {Lendable: 9}}, tasks: 10, wait: 20, want: []vm.Incarnation{"b-1", "a-1"}},
		{name: "promise of the shorter wait", told: map[vm.Incarnation]SlotReport{"a-1": {Wait: 450}, "b-1": {Wait: 100}}, tasks: 5, wait: 500, want: []vm.Incarnation{"b-1"}},
		{name: "no promise for a short wait", told: map[vm.Incarnation]SlotReport{"b-1": {Wait: 10}}, tasks: 5, wait: 50},
		{name: "wait shorter than the way there and back", told: map[vm.Incarnation]SlotReport{"b-1": {Lendable: 9}}, tasks: 1, wait: 2},
		{name: "pause after an empty answer", told: map[vm.Incarnation]SlotReport{"b-1": {Lendable: 9}}, answers: []answer{{peer: "b-1", left: SlotReport{Lendable: 9}}}, tasks: 5, wait: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewLoanPlanner()
			for id, slots := range tt.told {
				r.RecordReport(id, slots)
			}
			now := clock.Hour
			for _, a := range tt.answers {
				r.RecordAnswer(now, a.peer, 0, a.left)
			}
			var got []vm.Incarnation
			asked := 0
			for _, request := range r.Plan(now, LoanNeed{Tasks: tt.tasks, Wait: tt.wait}, peers) {
				got = append(got, request.Peer)
				asked += request.Need.Tasks
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got requests to %v, want %v", got, tt.want)
			}
			if len(got) > 0 && asked != tt.tasks {
				t.Errorf("got %d slots asked for, want %d", asked, tt.tasks)
			}
			if again := r.Plan(now, LoanNeed{Tasks: tt.tasks, Wait: tt.wait}, tt.want); len(again) > 0 {
				t.Errorf("got %d more requests while the first are under way, want none", len(again))
			}
		})
	}
}
