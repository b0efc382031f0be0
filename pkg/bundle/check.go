package bundle

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+$`)

// Check returns an error that names the first invalid key.
func (b *Bundle) Check() error {
	if err := b.Governance.Check(); err != nil {
		return err
	}
	if len(b.Owners) == 0 {
		return invalid("owners", "is empty; name at least one owner")
	}
	ids := make(map[owner.ID]bool)
	tokens := make(map[owner.TokenDigest]owner.ID)
	for i, o := range b.Owners {
		if err := CheckOwner(o); err != nil {
			return errors.Annotatef(err, "owners[%d]", i)
		}
		if ids[o.ID] {
			return invalid(fmt.Sprintf("owners[%d].id", i), "%q appears twice", o.ID)
		}
		ids[o.ID] = true
		for _, t := range o.Tokens {
			if other, used := tokens[t]; used {
				return invalid(fmt.Sprintf("owners[%d].tokens", i), "a token of %s belongs to %s too", o.ID, other)
			}
			tokens[t] = o.ID
		}
	}
	return nil
}

// Check returns an error that names the first invalid key.
func (g Governance) Check() error {
	if len(g.Calendar) == 0 {
		return invalid("governance.calendar", "is empty; name an owner for each month")
	}
	months := slices.Sorted(maps.Keys(g.Calendar))
	for i, m := range months {
		key := fmt.Sprintf("governance.calendar.%s", m)
		if !m.Valid() {
			return invalid(key, "is not a month; use the form 2026-12")
		}
		if i > 0 && months[i-1].Next() != m {
			return invalid(key, "leaves a gap after %s; name an owner for %s", months[i-1], months[i-1].Next())
		}
		if _, ok := g.Keys[g.Calendar[m]]; !ok {
			return invalid(key, "owner %q has no key in governance.keys", g.Calendar[m])
		}
	}
	for _, o := range slices.Sorted(maps.Keys(g.Keys)) {
		if _, err := g.Keys[o].decode(); err != nil {
			return invalid("governance.keys."+string(o), "%v", err)
		}
	}
	return nil
}

// CheckCoverage checks that the calendar names an owner for a month and the next one.
// Otherwise no owner could sign the version that extends the calendar.
func (g Governance) CheckCoverage(m Month) error {
	for _, required := range []Month{m, m.Next()} {
		if _, ok := g.Calendar[required]; !ok {
			return invalid("governance.calendar", "does not cover %s; name an owner for it", required)
		}
	}
	return nil
}

// CheckOwner returns an error that names the first invalid key of an owner's section.
func CheckOwner(o owner.Owner) error {
	if !namePattern.MatchString(string(o.ID)) {
		return invalid("id", "%q; use lower-case letters and digits", o.ID)
	}
	positives := []struct {
		key   string
		value int
	}{
		{"share", int(o.Share)},
		{"limits.tasksPerJob", o.Limits.TasksPerJob},
		{"limits.queuedTasks", o.Limits.QueuedTasks},
	}
	for _, p := range positives {
		if p.value <= 0 {
			return invalid(p.key, "of %s is %d; use a positive number", o.ID, p.value)
		}
	}
	for _, t := range o.Tokens {
		if !Digest(t).Valid() {
			return invalid("tokens", "of %s: %q is not a digest; use the 64 hex digits of the token's SHA-256", o.ID, t)
		}
	}
	return checkClasses(o)
}

func checkClasses(o owner.Owner) error {
	if len(o.Classes) == 0 {
		return invalid("classes", "of %s is empty; name at least one class", o.ID)
	}
	names := make(map[owner.ClassName]bool)
	ranks := make(map[owner.Rank]bool)
	for _, c := range o.Classes {
		switch {
		case !namePattern.MatchString(string(c.Name)):
			return invalid("classes.name", "of %s: %q; use lower-case letters and digits", o.ID, c.Name)
		case names[c.Name]:
			return invalid("classes.name", "of %s: %q appears twice", o.ID, c.Name)
		case c.Rank < 0:
			return invalid("classes.rank", "of %s: %d for %q; use 0 or more", o.ID, c.Rank, c.Name)
		case ranks[c.Rank]:
			return invalid("classes.rank", "of %s: %d appears twice", o.ID, c.Rank)
		case c.Deadline <= 0:
			return invalid("classes.deadlineMs", "of %s: %d for %q; use a positive number", o.ID, c.Deadline, c.Name)
		}
		names[c.Name], ranks[c.Rank] = true, true
	}
	return nil
}

func invalid(key, format string, args ...any) error {
	return errors.NotValidf("%s %s: bundle", key, fmt.Sprintf(format, args...))
}
