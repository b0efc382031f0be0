// Package event writes numbered log events. docs/events.md is their catalogue.
package event

import (
	"fmt"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Number identifies a log event. The first digit is its area: 1 daemon, 2 platform,
// 3 bundles, 4 peers and membership, 5 callers, 6 endpoints, 7 VMs on the users' platform.
type Number string

// Events of the daemon, the platform and bundles.
const (
	DaemonStarted   Number = "SQ-1001"
	DaemonStopped   Number = "SQ-1002"
	PlatformFailed  Number = "SQ-2001"
	EndpointIgnored Number = "SQ-2002"
	BundleInForce   Number = "SQ-3001"
	BundleRejected  Number = "SQ-3002"
	ListenersFailed Number = "SQ-1003"
	DrainFailed     Number = "SQ-1004"
	// PlatformUnreachable and PlatformRecovered are logged once per outage.
	PlatformUnreachable Number = "SQ-3003"
	PlatformRecovered   Number = "SQ-3004"
	BundleIncomplete    Number = "SQ-3005"
	BundleAheadOfClock  Number = "SQ-3006"
	// Events of a VM on the users' platform.
	VMStarted           Number = "SQ-7001"
	VMStopping          Number = "SQ-7002"
	SettingsReloaded    Number = "SQ-7003"
	StoreUnreachable    Number = "SQ-7004"
	StoreRecovered      Number = "SQ-7005"
	DesiredStateApplied Number = "SQ-7006"
	SeedAnswered        Number = "SQ-7007"
	LeadershipAcquired  Number = "SQ-7010"
	LeadershipLost      Number = "SQ-7011"
	LeadershipYielded   Number = "SQ-7012"
	ReplicaSetUpdated   Number = "SQ-7013"
	EvacuationRequested Number = "SQ-7014"
	EvacuationWithdrawn Number = "SQ-7015"
	RowOverwritten      Number = "SQ-7016"
	VMReplaced          Number = "SQ-7017"
	JobEnded            Number = "SQ-7020"
	LeaderDecision      Number = "SQ-7021"
	CallFailed          Number = "SQ-7030"
	EndpointUnreadable  Number = "SQ-7031"
	CallersTurnedAway   Number = "SQ-7032"
	CallerUnanswered    Number = "SQ-7033"
)

// Config configures a Log.
type Config struct {
	Logger *logrus.Logger
	Clock  clock.Clock
	// RepeatInterval is the time during which repeats of a warning are suppressed.
	RepeatInterval clock.Millis
}

// DefaultRepeatInterval limits a fault that recurs with every poll or task to one line a
// minute.
const DefaultRepeatInterval = clock.Minute

// Log writes events to a logger. A nil log writes nothing.
type Log struct {
	config Config

	mu       sync.Mutex
	warnings map[string]*trackedWarning
}

// trackedWarning tracks one warning and its suppressed repeats.
type trackedWarning struct {
	writtenAt  clock.Millis
	suppressed int
}

// maxTrackedWarnings bounds the warnings that are tracked separately. When it is reached, all
// records are cleared; at worst a warning is repeated before RepeatInterval has passed.
const maxTrackedWarnings = 1024

// NewLog returns a log that writes to the logger with the system's clock.
func NewLog(l *logrus.Logger) *Log {
	return New(Config{Logger: l, Clock: clock.NewSystem(), RepeatInterval: DefaultRepeatInterval})
}

// New returns a log with the given configuration.
func New(c Config) *Log {
	return &Log{config: c, warnings: make(map[string]*trackedWarning)}
}

// Info writes an event of normal operation.
func (l *Log) Info(n Number, message string, fields logrus.Fields) {
	if l == nil {
		return
	}
	l.config.Logger.WithFields(fields).WithField("event", n).Info(message)
}

// Warn writes an event that may need an operator's attention. Repeats of an event about
// the same peer, endpoint or owner are suppressed for RepeatInterval; the next one that is
// written has their number in the field "heldBack".
func (l *Log) Warn(n Number, message string, fields logrus.Fields) {
	if l == nil {
		return
	}
	suppressed, ok := l.due(n, fields)
	if !ok {
		return
	}
	e := l.config.Logger.WithFields(fields).WithField("event", n)
	if suppressed > 0 {
		e = e.WithField("heldBack", suppressed)
	}
	e.Warn(message)
}

// due reports whether a warning is to be written, and how many repeats were suppressed
// since the last one.
func (l *Log) due(n Number, fields logrus.Fields) (suppressed int, ok bool) {
	key := fmt.Sprint(n, fields["peer"], fields["endpoint"], fields["owner"])
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	warning, found := l.warnings[key]
	if found && now-warning.writtenAt < l.config.RepeatInterval {
		warning.suppressed++
		return 0, false
	}
	if !found {
		if len(l.warnings) >= maxTrackedWarnings {
			clear(l.warnings)
		}
		warning = &trackedWarning{}
		l.warnings[key] = warning
	}
	suppressed = warning.suppressed
	warning.writtenAt, warning.suppressed = now, 0
	return suppressed, true
}
