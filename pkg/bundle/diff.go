package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is a key whose value differs between two bundles. An absent value is empty.
type Change struct {
	Key    string
	Before string
	After  string
}

// Diff returns the changes from one bundle to another, sorted by key. A nil bundle counts as
// empty.
func Diff(from, to *Bundle) []Change {
	before, after := flatten(from), flatten(to)
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var changes []Change
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if before[k] != after[k] {
			changes = append(changes, Change{Key: k, Before: before[k], After: after[k]})
		}
	}
	return changes
}

func flatten(b *Bundle) map[string]string {
	flat := make(map[string]string)
	if b == nil {
		return flat
	}
	for m, o := range b.Governance.Calendar {
		flat["governance.calendar."+string(m)] = string(o)
	}
	for o, k := range b.Governance.Keys {
		flat["governance.keys."+string(o)] = string(k)
	}
	for _, o := range b.Owners {
		prefix := "owners." + string(o.ID) + "."
		flat[prefix+"share"] = fmt.Sprint(o.Share)
		flat[prefix+"limits.tasksPerJob"] = fmt.Sprint(o.Limits.TasksPerJob)
		flat[prefix+"limits.queuedTasks"] = fmt.Sprint(o.Limits.QueuedTasks)
		flat[prefix+"tokens"] = strings.Join(encodeOwner(o).Tokens, " ")
		for _, c := range o.Classes {
			flat[prefix+"classes."+string(c.Name)] = fmt.Sprintf("rank %d, deadlineMs %d", c.Rank, c.Deadline)
		}
	}
	return flat
}
