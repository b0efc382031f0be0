package fleet

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/app"
	"github.com/sequoiacart/sequoiacart/platform/standin"
)

var (
	firstSeed    = flag.Uint64("soak.seed", 1, "first `seed` of the soak")
	seeds        = flag.Int("soak.seeds", 2, "`number` of seeds")
	seedDuration = flag.Duration("soak.span", 6*time.Second, "`time` that each seed takes")
)

// nodeEnv is the environment variable that makes the test binary run the real command.
const nodeEnv = "SEQUOIACART_SOAK_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		os.Exit(app.Main([]string{"node"}, os.Stdout, os.Stderr))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fleet has VMs as processes, a store and endpoints, with a relay on each connection between them.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	store     *standin.Store
	checker   *attemptChecker
	vms       []*node
	endpoints []*endpoint
	relays    []*relay
	dir       string
	desired   int64
}

type node struct {
	name, dc              string
	callers, ready, peers string
	settingsPath          string
	peerRelay, storeRelay *relay

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

type endpoint struct {
	id, dc  string
	standIn *standin.Endpoint
	relay   *relay
	server  *httptest.Server

	mu       sync.Mutex
	draining bool
	absent   bool
}

const (
	dataCentres        = 2
	vmsPerDataCentre   = 2
	endpointsPerCentre = 4
	endpointCPU        = 32000
	taskCPU            = 14000
	// resendAfter is when callers send a job again; it is the platform's value.
	resendAfter = 1300 * time.Millisecond
)

func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), store: standin.NewStore(), checker: newAttemptChecker(), dir: t.TempDir()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	f.publishDesiredState()
	for dc := range dataCentres {
		for i := range endpointsPerCentre {
			f.addEndpoint(fmt.Sprintf("i-%d%d", dc, i), fmt.Sprintf("dc%d", dc))
		}
	}
	go f.refreshEndpoints(t.Context())
	for dc := range dataCentres {
		for i := range vmsPerDataCentre {
			f.addVM(fmt.Sprintf("vm%d%d", dc, i), fmt.Sprintf("dc%d", dc), storeAddress)
		}
	}
	return f
}

// publishDesiredState writes the next desired state.
func (f *fleet) publishDesiredState() {
	f.desired += 1 + int64(f.random.IntN(3))
	f.store.PutDesiredState(f.desired)
}

func (f *fleet) addEndpoint(id, dc string) {
	e := &endpoint{id: id, dc: dc, standIn: standin.NewEndpoint(standin.EndpointConfig{
		ID: id, Service: "playout", DataCentre: dc, MilliCores: endpointCPU, Observer: f.checker.observer(id),
	})}
	e.server = httptest.NewServer(e.standIn)
	f.t.Cleanup(e.server.Close)
	e.relay = f.relay(strings.TrimPrefix(e.server.URL, "http://"))
	f.endpoints = append(f.endpoints, e)
}

func (f *fleet) relay(target string) *relay {
	r := newRelay(f.t, target)
	f.relays = append(f.relays, r)
	return r
}

// refreshEndpoints writes the rows of the endpoints every second.
func (f *fleet) refreshEndpoints(ctx context.Context) {
	for {
		for _, e := range f.endpoints {
			e.mu.Lock()
			if e.absent {
				f.store.RemoveEndpoint(e.standIn)
			} else {
				f.store.PutEndpoint(e.standIn, e.relay.address(), e.draining)
			}
			e.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// lowestPort and ports are a range below the kernel's ephemeral ports, which it uses for
// listeners on port 0 and for outgoing connections: a relay could get an ephemeral port between
// its selection and the start of the process that listens on it. Each process of the soak test
// starts at a different port of the range, and uses each port once.
const lowestPort, ports, portStride = 20000, 12000, 97

var nextPort = os.Getpid() * portStride

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range ports {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+nextPort%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	t.Fatal("got no free port, want one")
	return ""
}

func (f *fleet) addVM(name, dc, store string) {
	n := &node{name: name, dc: dc, callers: freeAddress(f.t), ready: freeAddress(f.t), peers: freeAddress(f.t)}
	n.peerRelay, n.storeRelay = f.relay(n.peers), f.relay(store)
	n.settingsPath = filepath.Join(f.dir, name+".toml")
	seed := n.peerRelay.address()
	if len(f.vms) > 0 {
		seed = f.vms[0].peerRelay.address()
	}
	text := fmt.Sprintf(`vm = %q
dataCentre = %q
dataCentres = ["dc0", "dc1"]
seeds = [%q]
[listen]
callers = %q
ready = %q
peers = %q
advertisedPeers = %q
[store]
address = %q
`, name, dc, seed, n.callers, n.ready, n.peers, n.peerRelay.address(), n.storeRelay.address())
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	n.log = log
	f.vms = append(f.vms, n)
	f.start(n)
	f.t.Cleanup(func() { n.signal(syscall.SIGKILL); <-n.exited; _ = log.Close() })
}

func (f *fleet) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeEnv+"=1", "SEQUOIACART_BOOT="+n.settingsPath, "GOMAXPROCS=1")
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		f.t.Error(err)
		return
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() { _ = c.Wait(); close(exited) }()
}

// signal sends a signal to the process of this VM only.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	limit := time.Now().Add(15 * time.Second)
	for _, n := range f.vms {
		for !standin.IsReady(n.ready) {
			if time.Now().After(limit) {
				f.t.Fatalf("%s: got no readiness within 15 s, want it; its log:\n%s", n.name, n.tail(20))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// tail returns the last lines of a VM's log.
func (n *node) tail(lines int) string {
	file, err := os.Open(n.log.Name())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }()
	var all []string
	for s := bufio.NewScanner(file); s.Scan(); {
		all = append(all, s.Text())
	}
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// sendJob sends a job until it has a final answer, with the retries of the platform's callers.
func (f *fleet) sendJob(c standin.Caller, random *rand.Rand, j standin.Job) {
	deadline := time.Now().Add(5 * time.Second)
	for attempt := 0; attempt < 3 && time.Now().Before(deadline); attempt++ {
		n := f.vms[random.IntN(len(f.vms))]
		switch c.Send(n.callers, j) {
		case standin.Completed:
			f.checker.completed(j.ID, j.Tasks)
			return
		case standin.Refused:
			if attempt == 0 {
				f.checker.refused(j.ID)
			}
			return
		case standin.Ambiguous:
			time.Sleep(resendAfter)
		}
	}
}
