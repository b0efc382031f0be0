package submit

import (
	"fmt"
	"io"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const progressInterval = clock.Second

// ShowProgress prints the counts of a summary once per second, with the label as a prefix,
// until stop is called.
func ShowProgress(w io.Writer, label string, s *Summary) (stop func()) {
	done := make(chan struct{})
	ticker := time.NewTicker(progressInterval.Duration())
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				_, _ = fmt.Fprintln(w, label+s.ProgressLine())
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}
