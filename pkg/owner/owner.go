// Package owner describes the owners who share the service: shares, urgency classes and limits.
package owner

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// ID names an owner.
type ID string

// Share is an owner's weight relative to the other owners.
type Share int

// ClassName names an urgency class of an owner.
type ClassName string

// Rank orders urgency classes; 0 is the most urgent.
type Rank int

// Class is an urgency class.
type Class struct {
	Name ClassName
	Rank Rank
	// Deadline applies to jobs of the class that set none. It counts from their acceptance.
	Deadline clock.Millis
}

// Limits bound what one owner can have in the system at one entry VM.
type Limits struct {
	TasksPerJob int
	// QueuedTasks bounds the waiting tasks of all jobs of the owner.
	QueuedTasks int
}

// TokenDigest is the hex SHA-256 digest of a caller's bearer token.
type TokenDigest string

// Owner is one of the owners of the shared service.
type Owner struct {
	ID      ID
	Share   Share
	Classes []Class
	Limits  Limits
	Tokens  []TokenDigest
}

// Class returns the class of the given name. An empty name means the least urgent class.
func (o Owner) Class(name ClassName) (Class, bool) {
	var found Class
	ok := false
	for _, c := range o.Classes {
		if name != "" && c.Name == name {
			return c, true
		}
		if name == "" && (!ok || c.Rank > found.Rank) {
			found, ok = c, true
		}
	}
	return found, ok
}
