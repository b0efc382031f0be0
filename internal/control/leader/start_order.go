package leader

import (
	"cmp"
	"slices"
)

// sortStarts puts the starts among the actions into descending order of their expected durations. The
// link carries one request after the other, so the starts of a wide job arrive one by one, and the job
// ends with its longest task.
func sortStarts(actions []Action) {
	var indices []int
	var starts []Start
	for i, a := range actions {
		if s, ok := a.(Start); ok {
			indices, starts = append(indices, i), append(starts, s)
		}
	}
	slices.SortStableFunc(starts, func(a, b Start) int { return cmp.Compare(b.Expected, a.Expected) })
	for k, i := range indices {
		actions[i] = starts[k]
	}
}
