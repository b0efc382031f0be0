package bundle

import (
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Guards against an invalid file that is accepted, and against an error that does not name
// the file and the key.
func TestDecodeFileNamesInvalidKey(t *testing.T) {
	good, err := EncodeFile(testBundle(2))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeFile("b.toml", good); err != nil {
		t.Fatalf("good file: %v", err)
	}
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "share = 1", "share = 1\nweight = 2", "owners.weight"},
		{"share of zero", "share = 1", "share = 0", "share of norte"},
		{"share as text", "share = 1", "share = 'much'", "line"},
		{"no limit", "queuedTasks = 10000", "queuedTasks = 0", "limits.queuedTasks of norte"},
		{"class twice", "name = 'normal'", "name = 'alert'", "classes.name of norte"},
		{"rank twice", "rank = 1", "rank = 0", "classes.rank of norte"},
		{"no deadline", "deadlineMs = 60000", "deadlineMs = 0", "classes.deadlineMs of norte"},
		{"bad id", "id = 'norte'", "id = 'Norte!'", "owners[0]: id"},
		{"owner twice", "id = 'sur'", "id = 'norte'", "owners[1].id"},
		{"bad token", string(DigestOf([]byte("norte"))), "abc", "tokens of norte"},
		{"token of two owners", string(DigestOf([]byte("norte"))), string(DigestOf([]byte("sur"))), "owners[1].tokens"},
		{"bad key", string(publicKeyOf("sur")), "abc", "governance.keys.sur"},
		{"gap", "2027-01 = 'norte'\n", "", "governance.calendar.2027-02"},
		{"bad month", "2027-02 = 'sur'", "2027-13 = 'sur'", "governance.calendar.2027-13"},
		{"owner without key", "2027-02 = 'sur'", "2027-02 = 'este'", "governance.calendar.2027-02"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad := strings.Replace(string(good), tt.old, tt.new, 1)
			if bad == string(good) {
				t.Fatalf("%q is not in the file:\n%s", tt.old, good)
			}
			_, err := DecodeFile("b.toml", []byte(bad))
			if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.Contains(err.Error(), "b.toml") {
				t.Errorf("got %v, want an error that names b.toml and %q", err, tt.want)
			}
		})
	}
}

// Guards against a calendar that ends, after which no owner can sign.
func TestCheckCoverage(t *testing.T) {
	g := testBundle(2).Governance
	for m, want := range map[Month]bool{"2026-10": false, "2026-11": true, "2027-01": true, "2027-02": false} {
		if got := g.CheckCoverage(m) == nil; got != want {
			t.Errorf("%s: got %t, want %t", m, got, want)
		}
	}
}

// Guards against digests that depend on the order of entries in the file.
func TestCanonicalBytesIgnoreOrder(t *testing.T) {
	a, b := testBundle(3), testBundle(3)
	b.Owners[0], b.Owners[2] = b.Owners[2], b.Owners[0]
	classes := b.Owners[0].Classes
	b.Owners[0].Classes = []owner.Class{classes[1], classes[0]}
	headA, _ := Compose(nil, a)
	headB, _ := Compose(nil, b)
	if got, want := headB.Digest(), headA.Digest(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
