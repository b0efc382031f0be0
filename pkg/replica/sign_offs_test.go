package replica

import (
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

// Guards against sign-offs that are missing after a restart, a missed version or an outage,
// and against a history that grows without bound or delays the bundle. At the start,
// version 1 is in force at the platform and at no VM. At the end, the history must hold the
// versions from first down to last.
func TestSignOffHistory(t *testing.T) {
	tests := []struct {
		name, steps string
		first, last bundle.Version
	}{
		{"each version received in turn, without reading earlier heads", "roll pollHead roll pollHead roll pollHead", 4, 2},
		{"versions that were missed", "roll roll roll roll poll poll poll poll", 5, 1},
		{"restarted", "roll roll roll roll poll restart poll poll poll poll", 5, 1},
		{"restarted in an outage", "roll roll roll roll peer down restart poll", 5, 5},
		{"restarted in an outage that is over", "roll roll roll roll peer down restart poll up poll poll poll poll", 5, 1},
		{"object store fails while earlier heads are read", "roll roll roll roll pollHead objectFaults poll poll poll poll poll up poll poll", 5, 1},
		{"a poll reads one head", strings.Repeat("roll ", 20) + "poll", 21, 20},
		{"versions rolled while earlier heads are read", "roll roll roll roll roll poll poll roll roll poll poll poll poll", 8, 1},
		{"more versions than the history holds", strings.Repeat("roll ", 40) + strings.Repeat("poll ", 40), 41, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 2, 2)
			n := cl.nodes[0]
			for i, step := range strings.Fields(tt.steps) {
				switch step {
				case "roll":
					cl.publish(t, owner.Share(i+2))
				case "pollHead":
					n.replica.pollHead(t.Context())
				case "poll":
					n.poll()
				case "peer":
					cl.nodes[1].poll()
				case "restart":
					n.start(cl.clock)
				case "objectFaults":
					cl.platform.SetFaults(standin.ObjectService, standin.Faults{Pass: 2, DropNext: 100})
				default:
					cl.setPlatformDown(step == "down")
				}
			}
			cl.setPlatformDown(false)
			got := n.holder.SignOffs()
			if want := int(tt.first - tt.last + 1); len(got) != want {
				t.Fatalf("got %d sign-offs %+v, want %d from version %d back to %d", len(got), got, want, tt.first, tt.last)
			}
			for i, s := range got {
				head, err := cl.store.Head(t.Context(), s.Ref.Digest)
				if err != nil || head.SignOff.Signer != s.Signer || head.SignOff.Month != s.Month {
					t.Errorf("got %+v, want the sign-off %+v, error %v", s, head.SignOff, err)
				}
				if want := tt.first - bundle.Version(i); s.Ref.Version != want {
					t.Errorf("got version %d at index %d, want %d", s.Ref.Version, i, want)
				}
			}
		})
	}
}
