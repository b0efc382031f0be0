package submit

import (
	"fmt"
	"io"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	maxResponse       = 10 * clock.Minute
	significantDigits = 3
	// ratioScale preserves two decimals of response / ideal in an integer histogram.
	ratioScale = 100
	// maxRatio is the largest recorded ratio, multiplied by ratioScale.
	maxRatio = 1_000_000
)

// Summary counts the outcomes of jobs. It is safe for concurrent use.
type Summary struct {
	mu           sync.Mutex
	sent         int
	completed    int
	failed       int
	refused      int
	unresolved   int
	rejected     int
	retries      int
	responses    *hdrhistogram.Histogram
	ratios       *hdrhistogram.Histogram
	firstProblem string
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		responses: hdrhistogram.New(1, int64(maxResponse), significantDigits),
		ratios:    hdrhistogram.New(1, maxRatio, significantDigits),
	}
}

// Add counts the outcome of one job. A nil reply means that the outcome isn't known.
func (s *Summary) Add(j Job, reply Reply, retries int, elapsed clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.retries += retries
	switch r := reply.(type) {
	case Completed:
		s.completed++
		s.recordTimes(j, elapsed)
	case FailedJob:
		s.failed++
		s.recordProblem(r.Detail)
	case RefusedJob:
		s.refused++
		s.recordProblem(r.Detail)
	case Rejected:
		s.rejected++
		s.recordProblem(r.Detail)
	default:
		s.unresolved++
	}
}

func (s *Summary) recordTimes(j Job, elapsed clock.Millis) {
	_ = s.responses.RecordValue(int64(max(elapsed, 1)))
	if j.IdealResponse > 0 {
		_ = s.ratios.RecordValue(min(int64(elapsed)*ratioScale/int64(j.IdealResponse), maxRatio))
	}
}

func (s *Summary) recordProblem(detail string) {
	if s.firstProblem == "" {
		s.firstProblem = detail
	}
}

// Sent returns the number of jobs added: those that finished, were rejected or timed out.
func (s *Summary) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Unresolved returns the number of jobs whose outcome isn't known.
func (s *Summary) Unresolved() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresolved
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
	return fmt.Sprintf("%d, %d, %d", s.failed, s.refused, s.unresolved)
}

// ResponseRatio returns a percentile, from 0 to 100, of response / ideal over the completed jobs.
func (s *Summary) ResponseRatio(percentile float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responseRatio(percentile)
}

// ProgressLine formats the counts as one line.
func (s *Summary) ProgressLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d jobs: %d complete, %d failed, %d refused, %d not known yet, %d rejected, %d repeated calls",
		s.sent, s.completed, s.failed, s.refused, s.unresolved, s.rejected, s.retries)
}

// Print writes the counts, percentiles of the response times and the first problem.
func (s *Summary) Print(w io.Writer) error {
	line := s.ProgressLine()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := fmt.Fprintf(w, "%s\nresponse p50 %d ms, p99 %d ms; response / ideal p50 %.2f, p99 %.2f\n",
		line, s.responses.ValueAtQuantile(50), s.responses.ValueAtQuantile(99), s.responseRatio(50), s.responseRatio(99))
	if err != nil || s.firstProblem == "" {
		return err
	}
	_, err = fmt.Fprintf(w, "first problem: %s\n", s.firstProblem)
	return err
}

func (s *Summary) responseRatio(percentile float64) float64 {
	return float64(s.ratios.ValueAtQuantile(percentile)) / ratioScale
}
