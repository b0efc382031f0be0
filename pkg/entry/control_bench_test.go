package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BenchmarkControl measures the cost of the issuer's control state machine for one task, from
// the reservation of the id to the settled answer. The witness's answers are simulated.
func BenchmarkControl(b *testing.B) {
	for _, tasks := range []int{1, 370} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := NewControl(ControlConfig{DataCentre: "dc", Self: "a-1", Key: []byte("k"), Dispatch: dispatch.Config{MaxQueuedTasks: 1000}})
			now := clock.Millis(testStart)
			// The witness is in another data centre, so that the issuer is the endpoint's
			// home VM.
			c.Handle(now, RosterChanged{Roster: vm.NewRoster(vm.RosterConfig{Self: "a-1", VMs: []vm.VM{{Incarnation: "a-1", DataCentre: "dc"}, {Incarnation: "b-1", DataCentre: "other"}}})})
			c.Handle(now, OwnersChanged{Owners: []owner.Owner{{ID: testOwner, Classes: []owner.Class{{Name: "any", Deadline: clock.Minute}}}}})
			c.Handle(now, EndpointsListed{Endpoints: []datacentre.Endpoint{{ID: "e", DataCentre: "dc", Slots: 400}}})
			b.ReportAllocs()
			started := 0
			for started < b.N {
				now++
				if started%(1000*tasks) == 0 {
					now += contract.RetentionWindow
					c.Handle(now, Tick{})
				}
				id := c.idGenerator.Reserve(now, testOwner, "b-1")
				n, answers := handleAll(c, now, Submitted{Waiter: 1, Submission: job(id, tasks), Wait: true})
				if _, ok := lastAnswer(answers).(contract.Complete); !ok || n != tasks {
					b.Fatalf("job after %d starts: got %d starts and answers %v, want %d starts and a complete answer", started, n, answers, tasks)
				}
				started += n
			}
		})
	}
}

// handleAll handles an event and then the results of all actions that follow from it.
func handleAll(c *Control, now clock.Millis, e Event) (started int, answers []contract.Answer) {
	events := []Event{e}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, a := range c.Handle(now, next) {
			switch a := a.(type) {
			case RunAttempt:
				started++
				events = append(events, AttemptEnded{Attempt: a.Attempt, Start: a.Start, Result: contract.Succeeded{}})
			case SendRecords:
				events = append(events, RecordsAnswered{Witness: a.Witness.Incarnation, Batch: a.Batch, Statuses: make([]contract.RecordStatus, len(a.Records))})
			case ReplyTo:
				answers = append(answers, a.Reply.(AnswerReply).Answer)
			}
		}
	}
	return started, answers
}

func lastAnswer(answers []contract.Answer) contract.Answer {
	if len(answers) == 0 {
		return nil
	}
	return answers[len(answers)-1]
}
