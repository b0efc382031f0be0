package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// logLine returns the line that a node writes for an event.
func logLine(t *testing.T, e node.LogEvent) map[string]any {
	t.Helper()
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := newEventLogger(event.NewLog(log), meter.New(), clock.NewManual(clock.Hour), 10)
	l.logEvent(e)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.run(ended)
	t.Log(out.String())
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("got %q: %v, want a line of JSON", out.String(), err)
	}
	return line
}

func decisionLine(t *testing.T, d leader.Decision, details leader.Details) map[string]any {
	t.Helper()
	return logLine(t, node.LogEvent{Topic: node.LeaderDecision, Shard: "centro", Job: "75aef6597ba279b0", Decision: &leader.LogDecision{
		Decision: d, Job: "75aef6597ba279b0", Task: "75aef6597ba279b0.0.0.1", Endpoint: endpoint.Endpoint{ID: "e1", Born: 7}, Details: details,
	}})
}

func endedAttempt(end leader.AttemptEnd) *leader.EndedAttempt {
	return &leader.EndedAttempt{
		Attempt: 2, Endpoint: endpoint.Endpoint{ID: "e1", Born: 7}, End: end, SinceExtension: 640, Confirmed: true,
		Start:     leader.LeaseGrant{SentAt: 1000, Until: 5600, Reading: 4900, Age: 100, ReadIn: 6, SentTo: 6},
		LastGrant: leader.LeaseGrant{SentAt: 1100, Until: 5700, Reading: 5000, Age: 100, SentTo: 7},
	}
}

// Guards against a reason or a permission that is logged without a name, or under the name of
// another.
func TestLinesNameReasonsAndPermissions(t *testing.T) {
	reasons := map[string]leader.AttemptEnd{
		"listed": leader.EndListed{End: endpoint.EndStopped}, "absentAfterStop": leader.EndAbsentAfterStop{},
		"stopDuration": leader.EndStopDuration{}, "leaseExpired": leader.EndLeaseExpired{}, "restarted": leader.EndRestarted{},
		"replaced": leader.EndReplaced{}, "rejected": leader.EndRejected{Reason: endpoint.RejectedNoCapacity}, "absent": leader.EndAbsent{},
	}
	for want, end := range reasons {
		line := decisionLine(t, leader.AttemptEnded, endedAttempt(end))
		if got := line["reason"]; got != want || line["decision"] != "runEnded" {
			t.Errorf("got reason %v of %v, want %s of runEnded", got, line["decision"], want)
		}
	}
	permissions := map[string]leader.StartPermission{
		"tokensAccepted": leader.TokensAccepted{List: leader.EndpointList{Version: 812, ReadAt: 29_910, LastMissingAt: 10_000}.At(30_000), Accepted: 41, Unlisted: 1},
		"expiryAwaited":  leader.ExpiryAwaited{Waited: 1040}, "earlierRunEnded": leader.EarlierAttemptEnded{Attempt: endedAttempt(leader.EndLeaseExpired{})},
		"earlierSubmissionEnded": leader.EarlierSubmissionEnded{Last: 3},
	}
	for want, p := range permissions {
		line := decisionLine(t, leader.AttemptStarted, &leader.StartedAttempt{Attempt: 3, Token: 2305, Permissions: []leader.StartPermission{p}})
		allowed, _ := line["allowedBy"].([]any)
		if len(allowed) != 1 || line["decision"] != "runStarted" {
			t.Fatalf("got %v of %v, want one permission of runStarted", allowed, line["decision"])
		}
		fields, _ := allowed[0].(map[string]any)
		if got := fields["by"]; got != want {
			t.Errorf("got a start allowed by %v, want %s", got, want)
		}
	}
}

// Guards against lines from which one cannot tell whether a lease was computed from the clock of
// another incarnation of the endpoint.
func TestLinesHaveTheLeaseOfAnAttempt(t *testing.T) {
	line := decisionLine(t, leader.AttemptEnded, endedAttempt(leader.EndLeaseExpired{}))
	for field, want := range map[string]float64{"run": 2, "born": 7, "sinceExtensionMs": 640} {
		if got := line[field]; got != want {
			t.Errorf("%s: got %v, want %v", field, got, want)
		}
	}
	for field, want := range map[string]map[string]float64{
		"lease":     {"untilMs": 5600, "readingMs": 4900, "readingAgeMs": 100, "readIn": 6, "sentTo": 6},
		"extension": {"untilMs": 5700, "readingMs": 5000, "readingAgeMs": 100, "readIn": 0, "sentTo": 7},
	} {
		got, _ := line[field].(map[string]any)
		for name, value := range want {
			if got[name] != value {
				t.Errorf("%s.%s: got %v, want %v", field, name, got[name], value)
			}
		}
	}
}

// Guards against lines about lists of endpoints and attempts that lack what they are read for.
func TestLinesHaveTheListOfEndpoints(t *testing.T) {
	list := leader.EndpointList{Version: 812, ReadAt: 29_910, LastMissingAt: 10_000, HandedOverBy: "vm-1"}.At(30_000)
	changed := []leader.EndpointChange{{ID: "e1", Born: 7, Tasks: 2, TokenAccepted: true}}
	e1 := endpoint.Endpoint{ID: "e1", Born: 7}
	active := []leader.ActiveAttempt{{Task: "75aef6597ba279b0.0.0.1", Attempt: 1, Endpoint: e1, Confirmed: true, Start: leader.LeaseGrant{SentAt: 1000, Until: 5600, Reading: 4900, Age: 100, ReadIn: 6, SentTo: 7}}}
	for _, tt := range []struct {
		name   string
		line   map[string]any
		fields []string
	}{
		{"endpoints unlisted", decisionLine(t, leader.EndpointUnlisted, &leader.EndpointChanges{Endpoints: changed, List: list}), []string{"endpoints", "listVersion", "listAgeMs", "sinceMissingMs"}},
		{"endpoint restarted", decisionLine(t, leader.EndpointRestarted, &leader.EndpointRestart{Before: 6, After: 7, Listed: true, Tasks: 2, ReadIn: 6, Age: 140}), []string{"bornBefore", "born", "listed", "tasks", "readIn", "readingAgeMs"}},
		{"attempts left", decisionLine(t, leader.AttemptsLeft, &leader.ActiveAttempts{Attempts: active}), []string{"runs"}},
		{
			"leadership acquired", logLine(t, node.LogEvent{Topic: node.LeadershipAcquired, Shard: "centro", Token: 2305, Rank: 1, List: list, Endpoints: 42, ListComplete: true}),
			[]string{"token", "listVersion", "listAgeMs", "sinceMissingMs", "endpoints", "listComplete", "cleanHandOver"},
		},
	} {
		for _, f := range tt.fields {
			if tt.line[f] == nil {
				t.Errorf("%s: got no field %s in %v, want one", tt.name, f, tt.line)
			}
		}
	}
}

// Guards against lines about crashes from which one cannot tell a crash from a planned end, or which
// tasks ran there.
func TestLinesHaveTheEvidenceOfACrash(t *testing.T) {
	attempts := []leader.CrashedAttempt{{Task: "75aef6597ba279b0.0.0.1", Attempt: 2, Confirmed: true, Age: 310}}
	for want, e := range map[string]leader.CrashEvidence{
		"newIncarnation": leader.NewIncarnation{Before: 7, After: 8}, "instanceReplaced": leader.InstanceReplaced{},
		"processEnded":       leader.ProcessEnded{Refusals: 2, Duration: 10, SinceClosed: 12},
		"connectionsRefused": leader.ConnectionsRefused{Refusals: 2, Duration: 10},
	} {
		line := decisionLine(t, leader.EndpointCrashed, &leader.EndpointCrash{Incarnation: 7, Evidence: e, Contacted: true, SinceReport: 40, Attempts: attempts})
		if got := line["evidence"]; got != want || line["decision"] != "endpointCrashed" {
			t.Errorf("got evidence %v of %v, want %s of endpointCrashed", got, line["decision"], want)
		}
		for _, f := range []string{"born", "draining", "contacted", "abrupt", "sinceReportMs", "tasks", "runs"} {
			if line[f] == nil {
				t.Errorf("got no field %s in %v, want one", f, line)
			}
		}
	}
}

// Guards against decisions that are not logged since repeats of a warning, which are not written, use
// up the rate limit: calls to an endpoint that refuses connections fail a hundred times a second.
func TestRepeatedWarningsLeaveTheRateLimit(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := newEventLogger(event.NewLog(log), meter.New(), clock.NewManual(clock.Hour), 2)
	for range 5 {
		l.callFailed("hold", "e1", errors.New("connection refused"))
	}
	for range 3 {
		l.logEvent(node.LogEvent{Topic: node.LeaderDecision, Decision: &leader.LogDecision{Decision: leader.JobAccepted}})
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.run(ended)
	for line, want := range map[string]int{"call failed": 1, "jobTaken": 2} {
		if got := bytes.Count(out.Bytes(), []byte(line)); got != want {
			t.Errorf("got %d lines of %q, want %d", got, line, want)
		}
	}
}

// Guards against a refusal without its queue and cause, and against a line for each job whose forecast was
// right.
func TestLinesOfAdmission(t *testing.T) {
	line := decisionLine(t, leader.JobRefused, &leader.Refusal{Queue: "swap", Cause: leader.RefusedDisplaced, Held: 12})
	if line["queue"] != "swap" || line["cause"] != "displaced" || line["heldMs"] != 12.0 {
		t.Errorf("got queue %v, cause %v after %v ms, want swap, displaced, 12", line["queue"], line["cause"], line["heldMs"])
	}
	line = decisionLine(t, leader.JobStarted, &leader.ForecastError{Queue: "swap", Error: -60, Spread: 20})
	if line["decision"] != "forecastMissed" || line["lateMs"] != -60.0 || line["spreadMs"] != 20.0 {
		t.Errorf("got %v, %v ms late with a spread of %v, want forecastMissed, -60, 20", line["decision"], line["lateMs"], line["spreadMs"])
	}
	l := &eventLogger{meter: meter.New()}
	// A logger without a clock cannot write a line.
	l.logEvent(node.LogEvent{Topic: node.LeaderDecision, Decision: &leader.LogDecision{Decision: leader.JobStarted, Details: &leader.ForecastError{Error: 49}}})
}
