package fleet

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	seedDuration = flag.Duration("soak.span", 15*time.Second, "`time` that each seed takes")
	logDirectory = flag.String("soak.logs", "", "`directory` for the VMs' logs of seeds that fail")
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
	t              *testing.T
	random         *rand.Rand
	seed           uint64
	store          *standin.Store
	checker        *attemptChecker
	vms            []*node
	relays         []*relay
	dir            string
	desiredVersion int64

	mu sync.Mutex
	// endpoints are those that have not been removed, everyEndpoint all of them, and endpointsAdded counts these.
	endpoints, everyEndpoint []*endpoint
	endpointsAdded           int
	// answered counts the answers on connections of series by status, unanswered are the requests without one.
	answered   map[int]int
	unanswered []unanswered

	// series are the callers and signals of series of shutdowns, requestsDrawn counts the requests of these.
	series        sync.WaitGroup
	requestsDrawn int
}

// node is a VM: a process that runs the node command. Other VMs reach it over peerRelay, and it
// reaches the store over storeRelay.
type node struct {
	name, dc                                 string
	callerAddress, readyAddress, peerAddress string
	settingsPath                             string
	peerRelay, storeRelay                    *relay

	mu sync.Mutex
	// incarnations has the processes so far; the last one is the present one.
	incarnations []*incarnation
	// removed means that the process is not started again.
	removed bool
	log     *os.File
}

// endpoint is a simulated endpoint behind a relay.
type endpoint struct {
	id, dc  string
	standIn *standin.Endpoint
	relay   *relay
	server  *httptest.Server

	mu sync.Mutex
	// kinds draws the kinds of its incarnations.
	kinds    *rand.Rand
	draining bool
	// absent means that the row is missing from the store.
	absent bool
}

const (
	dataCentres        = 2
	vmsPerDataCentre   = 2
	endpointsPerCentre = 4
	maxEndpoints       = 16
	endpointMilliCores = 32000
	taskMilliCores     = 14000
	// resendAfter is when callers send a job again; it is the platform's value.
	resendAfter = 1300 * time.Millisecond
	// callerTimeout is longer than the limit that callers send.
	callerTimeout = 4 * time.Second
)

func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), seed: seed, store: standin.NewStore(), checker: newAttemptChecker(), dir: t.TempDir(), answered: make(map[int]int)}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	f.publishDesiredState()
	for dc := range dataCentres {
		for range endpointsPerCentre {
			f.addEndpoint(fmt.Sprintf("dc%d", dc), nil)
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
	f.desiredVersion += 1 + int64(f.random.IntN(3))
	f.store.PutDesiredState(f.desiredVersion)
}

// addEndpoint adds an endpoint under a new ID, behind the relay of a removed one or a new relay. Half
// of the endpoints have the slowest clock that the platform allows.
func (f *fleet) addEndpoint(dc string, behind *relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprintf("i-%s-%d", dc, f.endpointsAdded)
	e := &endpoint{id: id, dc: dc, kinds: rand.New(rand.NewPCG(f.seed, uint64(200+f.endpointsAdded))), standIn: standin.NewEndpoint(standin.EndpointConfig{
		ID: id, Service: "playout", DataCentre: dc, MilliCores: endpointMilliCores, Kind: endpointKinds[f.endpointsAdded%len(endpointKinds)],
		ClockRate: 1 - 0.02*float64(f.endpointsAdded%2), Seed: f.seed + uint64(f.endpointsAdded), Observer: f.checker.observer(id, dc),
	})}
	e.server = httptest.NewServer(e.standIn)
	f.t.Cleanup(e.server.Close)
	target := strings.TrimPrefix(e.server.URL, "http://")
	if e.relay = behind; behind == nil {
		e.relay = f.relay(target)
	}
	e.relay.target.Store(target)
	f.endpoints = append(f.endpoints, e)
	f.everyEndpoint = append(f.everyEndpoint, e)
	f.endpointsAdded++
	f.refreshRow(e)
}

// removeEndpoint ends an endpoint for good: after a drain, or at once. In the second case its row
// remains until it has not been refreshed for three intervals.
func (f *fleet) removeEndpoint(e *endpoint, drain time.Duration) {
	rowRemains := 3 * rowRefreshInterval
	if drain > 0 {
		f.setRow(e, true, false)
		rowRemains = 0
	}
	time.AfterFunc(drain, func() {
		f.mu.Lock()
		f.endpoints = slices.DeleteFunc(f.endpoints, func(other *endpoint) bool { return other == e })
		f.mu.Unlock()
		e.standIn.Remove()
		e.relay.reset()
		time.AfterFunc(rowRemains, func() { f.setRow(e, true, true) })
	})
}

// endpointKinds are the labels of endpoints, of which jobs may require one.
var endpointKinds = []string{"a", "b"}

// restart starts an endpoint again under its ID, as one of any kind. Its row shows the new incarnation at the next
// refresh. Answers of the earlier incarnation that are on their way are lost or still arrive.
func (e *endpoint) restart(lose bool) {
	e.mu.Lock()
	kind := endpointKinds[e.kinds.IntN(len(endpointKinds))]
	e.mu.Unlock()
	e.standIn.RestartAs(kind)
	if lose {
		e.relay.reset()
	}
}

func (f *fleet) countEndpoints(dc string) int {
	n := 0
	for _, e := range f.listEndpoints() {
		if e.dc == dc {
			n++
		}
	}
	return n
}

// listEndpoints returns the endpoints that have not been removed.
func (f *fleet) listEndpoints() []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endpoints)
}

func (f *fleet) relay(target string) *relay {
	r := newRelay(f.t, target)
	f.relays = append(f.relays, r)
	return r
}

const rowRefreshInterval = time.Second

// refreshEndpoints writes the rows of the endpoints at intervals.
func (f *fleet) refreshEndpoints(ctx context.Context) {
	for {
		for _, e := range f.listEndpoints() {
			f.refreshRow(e)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rowRefreshInterval):
		}
	}
}

// refreshRow writes the row of an endpoint unless the store is down, or removes it.
func (f *fleet) refreshRow(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.absent {
		f.store.RemoveEndpoint(e.standIn)
		return
	}
	// The row of the incarnation before stays while the store is down.
	if !f.store.IsDown() {
		f.store.PutEndpoint(e.standIn, e.relay.address(), e.draining)
	}
}

// setRow changes the state of an endpoint's row and writes the row at once.
func (f *fleet) setRow(e *endpoint, draining, absent bool) {
	e.mu.Lock()
	e.draining, e.absent = draining, absent
	e.mu.Unlock()
	f.refreshRow(e)
}

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (f *fleet) addVM(name, dc, store string) {
	n := &node{name: name, dc: dc, callerAddress: freeAddress(f.t), readyAddress: freeAddress(f.t), peerAddress: freeAddress(f.t)}
	n.peerRelay, n.storeRelay = f.relay(n.peerAddress), f.relay(store)
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
[bounds]
evacuateMs = %d
`, name, dc, seed, n.callerAddress, n.readyAddress, n.peerAddress, n.peerRelay.address(), n.storeRelay.address(), evacuationNotice.Milliseconds())
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
	f.t.Cleanup(func() { n.remove(); _ = log.Close() })
}

func (f *fleet) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.startProcess(n)
}

// restart starts a VM again after its present process has exited.
func (f *fleet) restart(n *node) {
	p := n.current()
	go func() {
		<-p.exited
		n.mu.Lock()
		defer n.mu.Unlock()
		// Another fault may have started the VM already.
		if n.last() == p && !n.removed {
			f.startProcess(n)
		}
	}()
}

// remove ends a VM for good.
func (n *node) remove() {
	n.mu.Lock()
	n.removed = true
	p := n.last()
	_ = p.command.Process.Signal(syscall.SIGKILL)
	n.mu.Unlock()
	<-p.exited
}

// current is the present process of a VM.
func (n *node) current() *incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last()
}

func (n *node) last() *incarnation { return n.incarnations[len(n.incarnations)-1] }

func (f *fleet) startProcess(n *node) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeEnv+"=1", "SEQUOIACART_BOOT="+n.settingsPath, "GOMAXPROCS=1")
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		f.t.Error(err)
		return
	}
	p := &incarnation{command: c, exited: make(chan struct{}), logStart: n.logSize()}
	n.incarnations = append(n.incarnations, p)
	go func() {
		_ = c.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		p.ended, p.logEnd = time.Now(), n.logSize()
		close(p.exited)
	}()
}

func (n *node) logSize() int64 {
	info, err := n.log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to the process of this VM only.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last().record(s, time.Now())
	_ = n.last().command.Process.Signal(s)
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	limit := time.Now().Add(15 * time.Second)
	for _, n := range f.vms {
		for !standin.IsReady(n.readyAddress) {
			if time.Now().After(limit) {
				f.t.Fatalf("%s: got no readiness within 15 s, want it; its log:\n%s", n.name, n.tail(20))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// keepLog copies a VM's log to the directory for logs, if there is one.
func (n *node) keepLog(t *testing.T, name string) {
	if *logDirectory == "" {
		return
	}
	text, err := os.ReadFile(n.log.Name())
	if err == nil {
		err = os.WriteFile(filepath.Join(*logDirectory, name), text, 0o600)
	}
	if err != nil {
		t.Log(err)
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
		limit := callerTimeout
		if random.IntN(12) == 0 {
			// The connection to the caller breaks while the job runs.
			limit = time.Duration(random.IntN(600)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		answer := c.Send(ctx, n.callerAddress, j)
		cancel()
		switch answer {
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
			f.checker.resent(j.ID)
		}
	}
}
