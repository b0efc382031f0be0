package daemon

import (
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
)

// addDetails adds the details of a decision to the fields of its line.
func addDetails(fields logrus.Fields, d leader.Details) {
	switch d := d.(type) {
	case *leader.EndedAttempt:
		addEndedAttempt(fields, d)
	case *leader.StartedAttempt:
		fields["run"], fields["token"], fields["lease"] = d.Attempt, d.Token, leaseFields(d.Lease)
		allowed := make([]logrus.Fields, len(d.Permissions))
		for i, p := range d.Permissions {
			allowed[i] = permissionFields(p)
		}
		fields["allowedBy"] = allowed
	case *leader.ActiveAttempts:
		if len(d.Attempts) == 0 {
			return
		}
		runs := make([]logrus.Fields, len(d.Attempts))
		for i, a := range d.Attempts {
			runs[i] = logrus.Fields{"task": a.Task, "run": a.Attempt, "endpoint": a.Endpoint.ID, "born": a.Endpoint.Born, "confirmed": a.Confirmed}
			if a.Start.SentAt != 0 {
				runs[i]["lease"] = leaseFields(a.Start)
			}
		}
		fields["runs"] = runs
		if d.More > 0 {
			fields["moreRuns"] = d.More
		}
	case *leader.EndpointChanges:
		all := make([]logrus.Fields, len(d.Endpoints))
		for i, c := range d.Endpoints {
			all[i] = logrus.Fields{"endpoint": c.ID, "born": c.Born, "tasks": c.Tasks, "tokenAccepted": c.TokenAccepted}
		}
		fields["endpoints"] = all
		addList(fields, d.List)
	case *leader.CrashesUnderTask:
		all := make([]logrus.Fields, len(d.Crashes))
		for i, c := range d.Crashes {
			all[i] = logrus.Fields{"endpoint": c.ID.Endpoint, "born": c.ID.Incarnation, "cell": c.Shard, "tasks": c.Tasks, "ageMs": c.Age}
		}
		fields["crashes"] = all
	case *leader.EndpointRestart:
		fields["bornBefore"], fields["born"], fields["listed"], fields["tasks"] = d.Before, d.After, d.Listed, d.Tasks
		fields["readIn"], fields["readingAgeMs"] = d.ReadIn, d.Age
	case *leader.HeldStarts:
		fields["waitedMs"], fields["storeLost"] = d.Waited, d.StoreLost
		if d.EvacuationsAge != 0 {
			fields["evacuationsAgeMs"] = d.EvacuationsAge
		}
		addList(fields, d.List)
	case *leader.EndpointCrash:
		addCrash(fields, d)
	case *leader.Refusal:
		fields["queue"], fields["cause"], fields["heldMs"] = d.Queue, refusalCauses[d.Cause], d.Held
	case *leader.ForecastError:
		fields["queue"], fields["lateMs"], fields["spreadMs"] = d.Queue, d.Error, d.Spread
	}
}

var refusalCauses = map[leader.RefusalCause]string{
	leader.RefusedOnArrival: "onArrival", leader.RefusedDisplaced: "displaced", leader.RefusedTooLate: "tooLate", leader.RefusedEvacuated: "evacuated",
	leader.RefusedWithoutMemory: "withoutMemory",
}

// leadershipFields says which leadership was acquired, and with which list of endpoints.
func leadershipFields(e node.LogEvent) logrus.Fields {
	fields := logrus.Fields{
		"cell": e.Shard, "lineup": e.ReplicaSet.Revision, "rank": e.Rank, "token": e.Token,
		"endpoints": e.Endpoints, "listComplete": e.ListComplete,
	}
	addList(fields, e.List)
	return fields
}

func addList(fields logrus.Fields, l leader.EndpointListState) {
	fields["listVersion"], fields["listAgeMs"], fields["sinceMissingMs"], fields["cleanHandOver"] = l.Version, l.Age, l.SinceMissing, l.HandedOverBy != ""
}

func addEndedAttempt(fields logrus.Fields, e *leader.EndedAttempt) {
	fields["run"], fields["born"], fields["confirmed"], fields["sinceExtensionMs"] = e.Attempt, e.Endpoint.Born, e.Confirmed, e.SinceExtension
	if e.Start.SentAt != 0 {
		fields["lease"] = leaseFields(e.Start)
	}
	if e.LastGrant.SentAt > e.Start.SentAt {
		fields["extension"] = leaseFields(e.LastGrant)
	}
	switch end := e.End.(type) {
	case leader.EndListed:
		fields["reason"], fields["end"] = "listed", endNames[end.End]
	case leader.EndAbsentAfterStop:
		fields["reason"] = "absentAfterStop"
	case leader.EndStopDuration:
		fields["reason"] = "stopDuration"
	case leader.EndLeaseExpired:
		fields["reason"] = "leaseExpired"
	case leader.EndRestarted:
		fields["reason"] = "restarted"
	case leader.EndReplaced:
		fields["reason"] = "replaced"
	case leader.EndRejected:
		fields["reason"], fields["rejection"] = "rejected", rejectionNames[end.Reason]
	case leader.EndAbsent:
		fields["reason"] = "absent"
	}
}

var endNames = map[endpoint.End]string{
	endpoint.EndUnknown: "unknown", endpoint.EndDone: "done", endpoint.EndFailed: "failed", endpoint.EndStopped: "stopped",
	endpoint.EndExpired: "expired", endpoint.EndBroken: "broken", endpoint.EndAlone: "alone",
}

func leaseFields(g leader.LeaseGrant) logrus.Fields {
	return logrus.Fields{"untilMs": g.Until, "readingMs": g.Reading, "readingAgeMs": g.Age, "readIn": g.ReadIn, "sentTo": g.SentTo}
}

func permissionFields(p leader.StartPermission) logrus.Fields {
	switch p := p.(type) {
	case leader.TokensAccepted:
		fields := logrus.Fields{"by": "tokensAccepted", "accepted": p.Accepted, "unlisted": p.Unlisted}
		addList(fields, p.List)
		return fields
	case leader.ExpiryAwaited:
		return logrus.Fields{"by": "expiryAwaited", "waitedMs": p.Waited}
	case leader.EarlierAttemptEnded:
		fields := logrus.Fields{"by": "earlierRunEnded", "endpoint": p.Attempt.Endpoint.ID}
		addEndedAttempt(fields, p.Attempt)
		return fields
	case leader.EarlierSubmissionEnded:
		return logrus.Fields{"by": "earlierSubmissionEnded", "lastRun": p.Last}
	}
	return logrus.Fields{"by": "unknown"}
}

// maxCrashAttempts bounds the attempts in the line of a crash.
const maxCrashAttempts = 32

func addCrash(fields logrus.Fields, c *leader.EndpointCrash) {
	fields["born"], fields["draining"], fields["contacted"], fields["abrupt"], fields["tasks"] = c.Incarnation, c.Draining, c.Contacted, c.Abrupt, len(c.Attempts)
	fields["sinceReportMs"] = c.SinceReport
	shown := c.Attempts[:min(len(c.Attempts), maxCrashAttempts)]
	runs := make([]logrus.Fields, len(shown))
	for i, a := range shown {
		runs[i] = logrus.Fields{"task": a.Task, "run": a.Attempt, "confirmed": a.Confirmed, "orphan": a.Orphan, "lost": a.Lost, "ageMs": a.Age}
	}
	fields["runs"] = runs
	switch e := c.Evidence.(type) {
	case leader.NewIncarnation:
		fields["evidence"], fields["bornAfter"] = "newIncarnation", e.After
	case leader.InstanceReplaced:
		fields["evidence"] = "instanceReplaced"
	case leader.ProcessEnded:
		fields["evidence"], fields["refusals"], fields["refusedForMs"], fields["sinceClosedMs"] = "processEnded", e.Refusals, e.Duration, e.SinceClosed
	case leader.ConnectionsRefused:
		fields["evidence"], fields["refusals"], fields["refusedForMs"] = "connectionsRefused", e.Refusals, e.Duration
	}
}
