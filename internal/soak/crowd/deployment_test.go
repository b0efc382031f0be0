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
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// deployment is a VM, as a process of the real program, with stand-ins of the store and of two endpoints.
type deployment struct {
	callers string
	process *exec.Cmd
	exited  chan struct{}
	log     string
}

const (
	// memoryMB and openFiles are the limits that the settings give the VM, far below those of the users' VMs.
	memoryMB  = 96
	openFiles = 400

	startTimeout = 20 * time.Second
	heartbeat    = time.Second
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

func newDeployment(t *testing.T, program string) *deployment {
	t.Helper()
	store := standin.NewStore()
	store.PutDesiredState(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 2 {
		e := standin.NewEndpoint(standin.EndpointConfig{ID: fmt.Sprintf("i-%d", i), Service: "playout", DataCentre: "dc0", MilliCores: 32000, Observer: noObserver{}})
		endpointServer := httptest.NewServer(e)
		t.Cleanup(endpointServer.Close)
		go refreshRow(ctx, store, e, strings.TrimPrefix(endpointServer.URL, "http://"))
	}
	d := &deployment{callers: freeAddress(t), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "vm.log")}
	ready := freeAddress(t)
	settings := filepath.Join(t.TempDir(), "vm.toml")
	text := fmt.Sprintf("vm = \"vm0\"\ndataCentre = \"dc0\"\ndataCentres = [\"dc0\"]\n[listen]\ncallers = %q\nready = %q\npeers = %q\n[store]\naddress = %q\n[machine]\nprocessorShare = 0.4\nmemoryMB = %d\nopenFiles = %d\n",
		d.callers, ready, freeAddress(t), strings.TrimPrefix(server.URL, "http://"), memoryMB, openFiles)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(d.log)
	if err != nil {
		t.Fatal(err)
	}
	d.process = exec.Command(program, "node", "--boot", settings)
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = d.process.Wait(); _ = log.Close(); close(d.exited) }()
	t.Cleanup(func() { _ = d.process.Process.Signal(syscall.SIGKILL); <-d.exited })
	for limit := time.Now().Add(startTimeout); !standin.IsReady(ready); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("the VM is not ready %s after its start", startTimeout)
		}
	}
	return d
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
func (d *deployment) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// peakMemory returns the highest resident memory of the process so far, in bytes.
func (d *deployment) peakMemory(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
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

// descriptors returns the number of open descriptors of the process.
func (d *deployment) descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}
