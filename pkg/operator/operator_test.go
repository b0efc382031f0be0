package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

func keyOf(o owner.ID) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, o)
	return ed25519.NewKeyFromSeed(seed)
}

func testBundle(share owner.Share) *bundle.Bundle {
	b := &bundle.Bundle{Governance: bundle.Governance{
		Calendar: bundle.Calendar{"2026-11": "norte", "2026-12": "sur", "2027-01": "norte"},
		Keys:     make(map[owner.ID]bundle.PublicKey),
	}}
	for _, id := range []owner.ID{"norte", "sur"} {
		b.Governance.Keys[id] = bundle.PublicKey(hex.EncodeToString(keyOf(id).Public().(ed25519.PublicKey)))
		b.Owners = append(b.Owners, owner.Owner{
			ID: id, Share: share,
			Classes: []owner.Class{{Name: "normal", Deadline: clock.Second}},
			Limits:  owner.Limits{TasksPerJob: 1, QueuedTasks: 1},
		})
	}
	return b
}

func parseHour(text string) clock.Millis {
	t, _ := time.Parse("2006-01-02 15", text)
	return clock.Millis(t.UnixMilli())
}

// fixture is a stand-in platform and the clock of the operators.
type fixture struct {
	platform *standin.Platform
	client   *platform.Client
	clock    *clock.Manual
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{platform: standin.NewPlatform(), clock: clock.NewManual(parseHour("2026-11-30 12"))}
	server := httptest.NewServer(f.platform.Handler())
	f.client = platform.NewClient(platform.ClientConfig{
		Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 10 * clock.Second,
		InitialBackoff: 1, MaxBackoff: 1, CallsPerSecond: 100000,
	})
	t.Cleanup(func() { f.client.Close(); server.Close() })
	return f
}

func (f *fixture) operator(name bundlestore.OperatorName) *Operator {
	return f.operatorOn(name, f.client.Table())
}

func (f *fixture) operatorOn(name bundlestore.OperatorName, t platform.Table) *Operator {
	return New(Deps{Name: name, Store: bundlestore.New(t, f.client.Objects()), Clock: f.clock})
}

func (f *fixture) prepareSigned(t *testing.T, o *Operator, share owner.Share) bundle.Digest {
	t.Helper()
	c, err := o.Prepare(context.Background(), testBundle(share))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := o.Sign(context.Background(), SignOff{Candidate: c.ID, Signer: "norte", Key: keyOf("norte"), Month: "2026-11"}); err != nil {
		t.Fatal(err)
	}
	return c.ID
}

func (f *fixture) publish(t *testing.T, o *Operator, share owner.Share) {
	t.Helper()
	if _, err := o.Roll(context.Background(), f.prepareSigned(t, o, share)); err != nil {
		t.Fatal(err)
	}
}

func versionInForce(t *testing.T, o *Operator) (bundle.Version, owner.Share) {
	t.Helper()
	c, err := o.InForce(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return c.Head.Version, c.Bundle.Owners[0].Share
}

// hookedTable runs a function after a write to the head row, and then fails the call as if
// the answer was lost.
type hookedTable struct {
	platform.Table
	after func()
}

func (h *hookedTable) Put(ctx context.Context, key platform.Key, expected platform.Revision, value []byte) (platform.Revision, error) {
	revision, err := h.Table.Put(ctx, key, expected, value)
	if key != "bundle/head" || h.after == nil {
		return revision, err
	}
	after := h.after
	h.after = nil
	after()
	return 0, errors.Annotate(platform.ErrUnavailable, "answer lost")
}

// Guards against a wrong result for operators who roll at the same time: which operator was
// first, with which version, and whether one's own version was accepted.
func TestConcurrentRolls(t *testing.T) {
	tests := []struct {
		name string
		// loseAnswer applies ana's roll and drops the answer; bruno acts before ana retries.
		loseAnswer  bool
		bruno       func(t *testing.T, f *fixture, bruno *Operator, rival bundle.Digest) error
		wantAna     error
		wantBruno   error
		wantVersion bundle.Version
		wantShare   owner.Share
	}{
		{"bruno rolls another child after ana", false, func(_ *testing.T, _ *fixture, bruno *Operator, rival bundle.Digest) error {
			_, err := bruno.Roll(context.Background(), rival)
			return err
		}, nil, ErrConflict, 2, 2},
		{"the same while ana's answer is lost", true, func(_ *testing.T, _ *fixture, bruno *Operator, rival bundle.Digest) error {
			_, err := bruno.Roll(context.Background(), rival)
			return err
		}, nil, ErrConflict, 2, 2},
		{"bruno rolls on top of ana's version while her answer is lost", true, func(t *testing.T, f *fixture, bruno *Operator, _ bundle.Digest) error {
			f.publish(t, bruno, 4)
			return nil
		}, nil, nil, 3, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			table := &hookedTable{Table: f.client.Table()}
			ana, bruno := f.operatorOn("ana", table), f.operator("bruno")
			f.publish(t, bruno, 1)
			own, rival := f.prepareSigned(t, ana, 2), f.prepareSigned(t, bruno, 3)
			var gotBruno error
			act := func() { gotBruno = tt.bruno(t, f, bruno, rival) }
			if tt.loseAnswer {
				table.after = act
			}
			_, gotAna := ana.Roll(context.Background(), own)
			if !tt.loseAnswer {
				act()
			}
			if !errors.Is(gotAna, tt.wantAna) && gotAna != tt.wantAna {
				t.Errorf("ana: got %v, want %v", gotAna, tt.wantAna)
			}
			if !errors.Is(gotBruno, tt.wantBruno) && gotBruno != tt.wantBruno {
				t.Errorf("bruno: got %v, want %v", gotBruno, tt.wantBruno)
			}
			if gotBruno != nil && !strings.Contains(gotBruno.Error(), `"ana" has rolled version 2`) {
				t.Errorf("bruno: got %q, want who was first and with which version", gotBruno)
			}
			if v, s := versionInForce(t, bruno); v != tt.wantVersion || s != tt.wantShare {
				t.Errorf("in force: got version %d with share %d, want %d with %d", v, s, tt.wantVersion, tt.wantShare)
			}
		})
	}
}

// Guards against two versions with the same number, lost versions, and operators without a
// result. Several operators publish concurrently, with lost answers, and each retries until
// its change is in force. The result must be one sequence of versions.
func TestManyOperators(t *testing.T) {
	const operators = 4
	f := newFixture(t)
	f.publish(t, f.operator("first"), 1)
	f.platform.SetFaults(standin.TableService, standin.Faults{Pass: 5, LoseNext: 12})
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			o := f.operator(bundlestore.OperatorName(fmt.Sprintf("operator%d", i)))
			for {
				_, err := o.Publish(context.Background(), testBundle(owner.Share(10+i)), SignOff{Signer: "norte", Key: keyOf("norte")})
				if err == nil {
					return
				}
				if !errors.Is(err, ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
					t.Errorf("operator %d: got %v, want success, a conflict or an outage", i, err)
					return
				}
			}
		})
	}
	wg.Wait()
	f.platform.SetFaults(standin.TableService, standin.Faults{})
	heads, err := f.operator("last").History(context.Background(), 100)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(heads), operators+1; got != want {
		t.Errorf("got %d versions, want %d", got, want)
	}
	for i, h := range heads {
		if got, want := h.Version, bundle.Version(len(heads)-i); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	}
}

// Guards against a publication that cannot be completed after the platform fails at any one
// call: each step, repeated while it reports an outage, must end with version 1 in force.
func TestFaultAtEachStep(t *testing.T) {
	faults := map[string]standin.Faults{"answer lost": {LoseNext: 1}, "call lost": {DropNext: 1}, "platform down for a while": {DropNext: 12}}
	for name, fault := range faults {
		for _, service := range []standin.Service{standin.TableService, standin.ObjectService} {
			for step := range 24 {
				t.Run(fmt.Sprintf("%s/%s/%d", name, service, step), func(t *testing.T) {
					f := newFixture(t)
					o := f.operator("ana")
					fault.Pass = step
					f.platform.SetFaults(service, fault)
					ctx := context.Background()
					var id bundle.Digest
					retryOutage(t, func() error {
						c, err := o.Prepare(ctx, testBundle(1))
						id = c.ID
						return err
					})
					retryOutage(t, func() error {
						_, err := o.Sign(ctx, SignOff{Candidate: id, Signer: "norte", Key: keyOf("norte")})
						return err
					})
					retryOutage(t, func() error {
						_, err := o.Roll(ctx, id)
						return err
					})
					f.platform.SetFaults(service, standin.Faults{})
					if v, _ := versionInForce(t, o); v != 1 {
						t.Errorf("got version %d, want 1", v)
					}
				})
			}
		}
	}
}

// retryOutage repeats a step while it reports that the platform is unavailable.
func retryOutage(t *testing.T, step func() error) {
	t.Helper()
	for range 10 {
		err := step()
		if err == nil {
			return
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v, want success or an error that says that the platform is unavailable", err)
		}
	}
	t.Fatal("no success in 10 tries")
}

// Guards against a sign-off that is accepted after its month, and against a bundle that is
// refused because the month ends between sign and roll or a clock is wrong by a day.
func TestMonthRollover(t *testing.T) {
	tests := []struct {
		name               string
		signer             owner.ID
		month              bundle.Month
		signAt             string
		rollAt             string
		wantSign, wantRoll bool
	}{
		{"within the month", "norte", "2026-11", "2026-11-15 00", "2026-11-15 01", true, true},
		{"month ends between sign and roll", "norte", "2026-11", "2026-11-30 23", "2026-12-01 01", true, true},
		{"roll a day and a half late", "norte", "2026-11", "2026-11-30 23", "2026-12-02 13", true, false},
		{"signer's clock a day ahead", "sur", "2026-12", "2026-11-30 12", "2026-11-30 13", true, true},
		{"signer's clock a day behind", "norte", "2026-11", "2026-12-01 11", "2026-12-01 12", true, true},
		{"owner of the month before, days later", "norte", "2026-11", "2026-12-05 00", "2026-12-05 00", false, false},
		{"owner of another month", "sur", "2026-11", "2026-11-15 00", "2026-11-15 00", false, false},
		{"month far ahead", "norte", "2027-01", "2026-11-15 00", "2026-11-15 00", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.clock = clock.NewManual(parseHour(tt.signAt))
			o := f.operator("ana")
			ctx := context.Background()
			c, err := o.Prepare(ctx, testBundle(1))
			if err != nil {
				t.Fatal(err)
			}
			_, err = o.Sign(ctx, SignOff{Candidate: c.ID, Signer: tt.signer, Key: keyOf(tt.signer), Month: tt.month})
			if (err == nil) != tt.wantSign {
				t.Fatalf("sign: got %v, want success %t", err, tt.wantSign)
			}
			f.clock.Advance(parseHour(tt.rollAt) - parseHour(tt.signAt))
			if _, err = o.Roll(ctx, c.ID); (err == nil) != tt.wantRoll {
				t.Errorf("roll: got %v, want success %t", err, tt.wantRoll)
			}
		})
	}
}
