package submit

import (
	"fmt"
	"io"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	maxResponse      = 10 * clock.Minute
	significantDigit = 3
	// ratioScale preserves two decimals of response / ideal in an integer histogram.
	ratioScale = 100
	maxRatio   = 1_000_000
)

// Summary counts the outcomes of jobs. It is safe for concurrent use.
type Summary struct {
	mu        sync.Mutex
	sent      int
	completed int
	failed    int
	refused   int
	undecided int
	rejected  int
	repeats   int
	responses *hdrhistogram.Histogram
	ratios    *hdrhistogram.Histogram
	firstNote string
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		responses: hdrhistogram.New(1, int64(maxResponse), significantDigit),
		ratios:    hdrhistogram.New(1, maxRatio, significantDigit),
	}
}

// Add counts the outcome of one job. A nil reply means that the outcome isn't known.
func (s *Summary) Add(j Job, reply Reply, repeats int, took clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.repeats += repeats
	switch r := reply.(type) {
	case Completed:
		s.completed++
		s.addTimes(j, took)
	case FailedJob:
		s.failed++
		s.note(r.Detail)
	case RefusedJob:
		s.refused++
		s.note(r.Detail)
	case Rejected:
		s.rejected++
		s.note(r.Detail)
	default:
		s.undecided++
	}
}

func (s *Summary) addTimes(j Job, took clock.Millis) {
	_ = s.responses.RecordValue(int64(max(took, 1)))
	if j.IdealResponse > 0 {
		_ = s.ratios.RecordValue(min(int64(took)*ratioScale/int64(j.IdealResponse), maxRatio))
	}
}

func (s *Summary) note(detail string) {
	if s.firstNote == "" {
		s.firstNote = detail
	}
}

// Sent returns the number of jobs that finished or timed out.
func (s *Summary) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Unresolved returns the number of jobs whose outcome isn't known.
func (s *Summary) Unresolved() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undecided
}

// Completed returns the number of jobs whose tasks all succeeded.
func (s *Summary) Completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed
}

// FormatUnsuccessful formats the counts of failed, refused and unresolved jobs for a table cell.
func (s *Summary) FormatUnsuccessful() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d, %d, %d", s.failed, s.refused, s.undecided)
}

// ResponseRatio returns the given percentile of response / ideal.
func (s *Summary) ResponseRatio(quantile float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratio(quantile)
}

// ProgressLine formats the counts as one line.
func (s *Summary) ProgressLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d jobs: %d complete, %d failed, %d refused, %d not known yet, %d rejected, %d repeated calls",
		s.sent, s.completed, s.failed, s.refused, s.undecided, s.rejected, s.repeats)
}

// Print writes the counts and the response times.
func (s *Summary) Print(w io.Writer) error {
	line := s.ProgressLine()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := fmt.Fprintf(w, "%s\nresponse p50 %d ms, p99 %d ms; response / ideal p50 %.2f, p99 %.2f\n",
		line, s.responses.ValueAtQuantile(50), s.responses.ValueAtQuantile(99), s.ratio(50), s.ratio(99))
	if err != nil || s.firstNote == "" {
		return err
	}
	_, err = fmt.Fprintf(w, "first problem: %s\n", s.firstNote)
	return err
}

func (s *Summary) ratio(quantile float64) float64 {
	return float64(s.ratios.ValueAtQuantile(quantile)) / ratioScale
}
