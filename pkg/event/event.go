// Package event writes numbered log events. docs/events.md is their catalogue.
package event

import "github.com/sirupsen/logrus"

// Number identifies a log event.
type Number string

// The events.
const (
	DaemonStarted  Number = "SQ-1001"
	DaemonStopped  Number = "SQ-1002"
	PlatformFailed Number = "SQ-2001"
	BundleInForce  Number = "SQ-3001"
	BundleRejected Number = "SQ-3002"
	// PlatformOutOfReach and PlatformBack come once for each outage.
	PlatformOutOfReach Number = "SQ-3003"
	PlatformBack       Number = "SQ-3004"
	BundleIncomplete   Number = "SQ-3005"
	BundleAheadOfClock Number = "SQ-3006"
	ListenersFailed    Number = "SQ-1003"
)

// Log writes events to a logger.
type Log struct {
	logger *logrus.Logger
}

// NewLog returns a log that writes to the logger.
func NewLog(l *logrus.Logger) *Log {
	return &Log{logger: l}
}

// Info writes an event of normal operation.
func (l *Log) Info(n Number, message string, fields logrus.Fields) {
	l.logger.WithFields(fields).WithField("event", n).Info(message)
}

// Warn writes an event that an operator may want to look at.
func (l *Log) Warn(n Number, message string, fields logrus.Fields) {
	l.logger.WithFields(fields).WithField("event", n).Warn(message)
}
