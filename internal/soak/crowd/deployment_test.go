package crowd

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// deployment is a number of VMs of one data centre, with stand-ins of the store and of the endpoints.
type deployment struct {
	store        *standin.Store
	storeAddress string
	program      string
	vms          []*node
}

// node is a VM: a process of the real program.
type node struct {
	callers, ready string
	process        *exec.Cmd
	exited         chan struct{}
	// mostDescriptors is the highest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
}

const (
	// memoryMB and openFiles are the limits that the settings give the VM, far below those of the users' VMs.
	memoryMB  = 96
	openFiles = 400

	// fewEndpoints is how many most deployments under a crowd have, and manyEndpoints those whose endpoints may keep
	// more connections than the VM has descriptors.
	fewEndpoints, manyEndpoints = 2, 40

	startTimeout = 20 * time.Second
	heartbeat    = time.Second
	// sampleInterval is the interval between the counts of a VM's descriptors.
	sampleInterval = 20 * time.Millisecond
)

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) AttemptStarted(string, int64, time.Time)       {}
func (noObserver) AttemptEnded(string, int64, string, time.Time) {}

// build builds the program. The test binary is no measure of its memory.
func build(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "sequoiacart")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/sequoiacart/sequoiacart").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, out)
	}
	return program
}

func newDeployment(t *testing.T, program string, vms, endpoints int) *deployment {
	t.Helper()
	store := standin.NewStore()
	store.PutDesiredState(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range endpoints {
		e := standin.NewEndpoint(standin.EndpointConfig{ID: fmt.Sprintf("i-%d", i), Service: "playout", DataCentre: "dc0", MilliCores: 32000, Observer: noObserver{}})
		endpointServer := httptest.NewServer(e)
		t.Cleanup(endpointServer.Close)
		go refreshRow(ctx, store, e, strings.TrimPrefix(endpointServer.URL, "http://"))
	}
	d := &deployment{store: store, storeAddress: strings.TrimPrefix(server.URL, "http://"), program: program}
	for i := range vms {
		d.vms = append(d.vms, d.start(t, fmt.Sprintf("vm%d", i)))
	}
	for _, n := range d.vms {
		n.awaitReady(t)
	}
	return d
}

// start starts a VM.
func (d *deployment) start(t *testing.T, name string) *node {
	t.Helper()
	n := &node{callers: freeAddress(t), ready: freeAddress(t), exited: make(chan struct{})}
	directory := t.TempDir()
	settings := filepath.Join(directory, "vm.toml")
	text := fmt.Sprintf("vm = %q\ndataCentre = \"dc0\"\ndataCentres = [\"dc0\"]\n[listen]\ncallers = %q\nready = %q\npeers = %q\n[store]\naddress = %q\n[machine]\nprocessorShare = 0.4\nmemoryMB = %d\nopenFiles = %d\n",
		name, n.callers, n.ready, freeAddress(t), d.storeAddress, memoryMB, openFiles)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(directory, "vm.log"))
	if err != nil {
		t.Fatal(err)
	}
	n.process = exec.Command(d.program, "node", "--boot", settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.process.Wait(); _ = log.Close(); close(n.exited) }()
	go n.sampleDescriptors()
	t.Cleanup(func() { _ = n.process.Process.Signal(syscall.SIGKILL); <-n.exited })
	return n
}

func (n *node) awaitReady(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(startTimeout); !standin.IsReady(n.ready); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("the VM is not ready %s after its start", startTimeout)
		}
	}
}

// sampleDescriptors counts the descriptors until the process ends.
func (n *node) sampleDescriptors() {
	for !n.hasExited() {
		n.mostDescriptors.Store(max(n.mostDescriptors.Load(), int64(n.descriptors())))
		time.Sleep(sampleInterval)
	}
}

func refreshRow(ctx context.Context, store *standin.Store, e *standin.Endpoint, address string) {
	for ctx.Err() == nil {
		store.PutEndpoint(e, address, false)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
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

// hasExited reports whether the process has ended.
func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// peakMemory returns the highest resident memory of the process so far, in bytes.
func (n *node) peakMemory(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("got no peak of the resident memory")
	return 0
}

// descriptors returns the number of open descriptors of the process, or 0 once it has ended.
func (n *node) descriptors() int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	return len(all)
}
