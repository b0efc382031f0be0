package event

import (
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against a recurring fault that fills the log, and against a fault of one peer
// that suppresses the warning about another.
func TestRepeatedWarningsAreHeldBack(t *testing.T) {
	var out strings.Builder
	logger := logrus.New()
	logger.SetOutput(&out)
	c := clock.NewManual(0)
	l := New(Config{Logger: logger, Clock: c, RepeatInterval: clock.Minute})
	steps := []struct {
		advance clock.Millis
		peer    string
		want    string
	}{
		{0, "a", "peer=a"},
		{1, "a", ""},
		{1, "b", "peer=b"},
		{clock.Minute - 3, "a", ""},
		{1, "a", "heldBack=2"},
		{clock.Minute, "a", "peer=a"},
	}
	for i, s := range steps {
		out.Reset()
		c.Advance(s.advance)
		l.Warn(PeerRefused, "peer refused", logrus.Fields{"peer": s.peer, "error": i})
		if got := out.String(); (s.want == "") != (got == "") || !strings.Contains(got, s.want) {
			t.Errorf("step %d: got %q, want %q in it", i, got, s.want)
		}
	}
	for i := range 5000 {
		l.Warn(PeerRefused, "peer refused", logrus.Fields{"peer": i})
	}
	if got := len(l.warnings); got > maxTrackedWarnings {
		t.Errorf("got %d warnings tracked, want at most %d", got, maxTrackedWarnings)
	}
}
