package daemon

import (
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
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
	}
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
		return logrus.Fields{
			"by": "tokensAccepted", "accepted": p.Accepted, "unlisted": p.Unlisted, "listVersion": p.List.Version,
			"listAgeMs": p.ListAge, "sinceMissingMs": p.SinceMissing, "cleanHandOver": p.List.CleanHandOver,
		}
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
