package bundle

import (
	"regexp"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Month is a calendar month in UTC, in the form 2026-12. Months sort as strings.
type Month string

const monthLayout = "2006-01"

var monthPattern = regexp.MustCompile(`^[0-9]{4}-(0[1-9]|1[0-2])$`)

// MonthOf returns the month of a point in time.
func MonthOf(now clock.Millis) Month {
	return Month(time.UnixMilli(int64(now)).UTC().Format(monthLayout))
}

// Valid reports whether the month is well-formed.
func (m Month) Valid() bool {
	return monthPattern.MatchString(string(m))
}

// Next returns the following month, or an empty one if m is malformed.
func (m Month) Next() Month {
	t, err := time.Parse(monthLayout, string(m))
	if err != nil {
		return ""
	}
	return Month(t.AddDate(0, 1, 0).Format(monthLayout))
}
