package job

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// CoreMillis is work: the milliseconds that one core takes for it.
type CoreMillis int64

// WorkOf returns the work of a task that occupies the processors for a time.
func WorkOf(cpu MilliCores, duration clock.Millis) CoreMillis {
	return CoreMillis(cpu) * CoreMillis(duration) / 1000
}
