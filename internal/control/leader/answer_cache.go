package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// historyRetention is how long outcomes and attempt numbers are kept. A message that is delayed for
// longer is refused by its expiry, and callers resend a job within two seconds.
const historyRetention = 10 * clock.Second

// answerCache keeps the outcomes of submissions, so that a repeated message gets the same answer
// and starts nothing.
type answerCache struct {
	outcomes map[answerKey]job.Outcome
	order    expiryQueue[answerKey]
}

// answerKey distinguishes the visits of a submission that other shards have forwarded back.
type answerKey struct {
	job.Key
	hops int
}

func newAnswerCache() answerCache {
	return answerCache{outcomes: make(map[answerKey]job.Outcome)}
}

func (c *answerCache) add(s *job.Submission, o job.Outcome, now clock.Millis) {
	k := answerKey{s.Key, s.Hops}
	c.outcomes[k] = o
	c.order.add(k, now)
}

// get returns the outcome of a submission that was answered on this or a later visit.
func (c *answerCache) get(s *job.Submission) (job.Outcome, bool) {
	for hops := s.Hops; hops <= maxSubmissionHops; hops++ {
		if o, ok := c.outcomes[answerKey{s.Key, hops}]; ok {
			return o, true
		}
	}
	return nil, false
}

// maxSubmissionHops is an upper bound on the hops of the submissions that gateways send.
const maxSubmissionHops = 4

func (c *answerCache) expire(now clock.Millis) {
	for _, k := range c.order.popBefore(now - historyRetention) {
		delete(c.outcomes, k)
	}
}
