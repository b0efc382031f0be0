package app

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

const (
	runMainVariable = "SEQUOIACART_TEST_RUN_MAIN"
	testToken       = "secret"
	// waitTimeout is the time limit for each wait of a test.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// TestMain runs the command line instead of the tests when started as a child process.
func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// testCluster is a platform and endpoints in the test process, and entry VMs as child processes.
type testCluster struct {
	t         *testing.T
	platform  *standin.Platform
	server    *httptest.Server
	endpoints []*standin.Endpoint
	starts    *standin.StartCounts
	// governance is the governance digest that the entry VMs pin.
	governance bundle.Digest
}

// process is an entry VM in a child process.
type process struct {
	command *exec.Cmd
	address string
	exited  chan error
}

func newTestCluster(t *testing.T, endpoints int) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, platform: standin.NewPlatform(), starts: standin.NewStartCounts()}
	tc.server = httptest.NewServer(tc.platform.Handler())
	t.Cleanup(tc.server.Close)
	tc.governance = publish(t, hostPort(tc.server))
	for i := range endpoints {
		e := standin.NewEndpoint(standin.EndpointConfig{Slots: 8, Starts: tc.starts})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		tc.endpoints = append(tc.endpoints, e)
		tc.platform.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{
			ID:          datacentre.EndpointID(fmt.Sprintf("e%d", i)),
			DataCentre:  "centro",
			Address:     hostPort(server),
			Slots:       8,
			Connections: 64,
		}})
	}
	return tc
}

func hostPort(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// publish publishes a first bundle and returns the digest to pin.
func publish(t testing.TB, platformAddress string) bundle.Digest {
	t.Helper()
	client := platform.NewClient(platform.ClientConfig{Address: platformAddress, AttemptTimeout: 10 * clock.Second})
	defer client.Close()
	o := operator.New(operator.Deps{Name: "test", Store: bundlestore.New(client.Table(), client.Objects()), Clock: clock.NewSystem()})
	pin, _, err := o.Bootstrap(context.Background(), []owner.Owner{{
		ID:      "norte",
		Share:   1,
		Tokens:  []owner.TokenDigest{owner.TokenDigest(bundle.DigestOf([]byte(testToken)))},
		Classes: []owner.Class{{Name: "urgent", Deadline: clock.Minute}},
		Limits:  owner.Limits{TasksPerJob: 1000, QueuedTasks: 10000},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return pin
}

var boundAddress = regexp.MustCompile(`callerAddress="([^"]+)".*peerAddress="([^"]+)"`)

// start starts an entry VM and waits until it is ready.
func (tc *testCluster) start(name string, r *relay) *process {
	tc.t.Helper()
	p := tc.launch(name, r)
	tc.waitFor("readiness of "+name, p.ready)
	return p
}

// launch starts an entry VM and waits until its log contains its addresses. With a relay, peers
// reach it only through the relay.
func (tc *testCluster) launch(name string, r *relay) *process {
	tc.t.Helper()
	advertised := ""
	if r != nil {
		advertised = fmt.Sprintf("advertisedPeerAddress = %q\n", r.address())
	}
	file := filepath.Join(tc.t.TempDir(), name+".toml")
	content := fmt.Sprintf("vm = %q\ndataCentre = \"centro\"\ncallerAddress = \"127.0.0.1:0\"\npeerAddress = \"127.0.0.1:0\"\n%splatformAddress = %q\ngovernanceDigest = %q\n[timeouts]\npollMs = 200\n",
		name, advertised, hostPort(tc.server), tc.governance)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		tc.t.Fatal(err)
	}
	p := &process{command: exec.Command(os.Args[0], "entry", "--settings", file), exited: make(chan error, 1)}
	p.command.Env = append(os.Environ(), runMainVariable+"=1")
	stderr, err := p.command.StderrPipe()
	if err != nil {
		tc.t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(func() { _ = p.command.Process.Kill() })
	matches := make(chan []string, 1)
	go p.readLog(bufio.NewScanner(stderr), matches)
	select {
	case bound := <-matches:
		p.address = bound[1]
		if r != nil {
			r.setTarget(bound[2])
		}
	case <-time.After(waitTimeout):
		tc.t.Fatalf("start of %s: no address in its log", name)
	}
	return p
}

// readLog sends the match of boundAddress once the log contains it, reads the log to its end so
// that the process never blocks on it, and then sends the result of the process.
func (p *process) readLog(scanner *bufio.Scanner, bound chan<- []string) {
	for scanner.Scan() {
		if m := boundAddress.FindStringSubmatch(scanner.Text()); m != nil {
			bound <- m
		}
	}
	p.exited <- p.command.Wait()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (tc *testCluster) waitFor(what string, done func() bool) {
	tc.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			tc.t.Fatalf("waiting for %s took more than %v", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

func (tc *testCluster) client(ps ...*process) *submit.Client {
	addresses := make([]string, len(ps))
	for i, p := range ps {
		addresses[i] = p.address
	}
	return submit.NewClient(submit.ClientConfig{Addresses: addresses, Token: testToken, Wait: 2 * clock.Second})
}

// outcome is the outcome of one job.
type outcome struct {
	id    string
	reply submit.Reply
	err   error
}

// submitJobs submits jobs with ids of the first VM at the second one and returns their outcomes.
func (tc *testCluster) submitJobs(c *submit.Client, count int, j submit.Job) <-chan outcome {
	tc.t.Helper()
	ids, err := c.Reserve(context.Background(), 0, count)
	if err != nil {
		tc.t.Fatal(err)
	}
	outcomes := make(chan outcome, count)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	tc.t.Cleanup(cancel)
	for _, id := range ids {
		go func() {
			reply, _, err := c.SubmitAndWait(ctx, 1, id, j)
			outcomes <- outcome{id: id, reply: reply, err: err}
		}()
	}
	return outcomes
}

// checkOutcomes checks each outcome against the starts that the endpoints counted and against the
// answer to a second submission. It returns the number of jobs by outcome.
func (tc *testCluster) checkOutcomes(c *submit.Client, outcomes <-chan outcome, count int, j submit.Job) map[string]int {
	tc.t.Helper()
	outcomeCounts := make(map[string]int)
	for range count {
		o := <-outcomes
		if o.err != nil {
			tc.t.Errorf("job %s: got %v, want an outcome", o.id, o.err)
			continue
		}
		tc.checkOutcome(o, j, outcomeCounts)
		again, _, err := c.SubmitAndWait(context.Background(), 1, o.id, j)
		if got, want := fmt.Sprintf("%#v", again), fmt.Sprintf("%#v", o.reply); err != nil || got != want {
			tc.t.Errorf("job %s submitted again: got %s (%v), want %s", o.id, got, err, want)
		}
	}
	if got := tc.starts.Repeated(); len(got) != 0 {
		tc.t.Errorf("tasks started twice: got %v, want none", got)
	}
	return outcomeCounts
}

// checkOutcome checks one outcome against the counted starts and adds it to outcomeCounts.
func (tc *testCluster) checkOutcome(o outcome, j submit.Job, outcomeCounts map[string]int) {
	tc.t.Helper()
	started := 0
	all := tc.starts.All()
	for i := range j.Payloads {
		started += all[standin.TaskName(fmt.Sprintf("%s/%d", o.id, i))]
	}
	switch r := o.reply.(type) {
	case submit.Completed:
		outcomeCounts["complete"]++
		if got, want := len(r.Results), len(j.Payloads); got != want {
			tc.t.Errorf("job %s: got %d results, want %d", o.id, got, want)
		}
	case submit.FailedJob:
		outcomeCounts["failed"]++
		if got, want := len(r.Tasks), len(j.Payloads); got != want {
			tc.t.Errorf("job %s: got %d task states, want %d", o.id, got, want)
		}
		for i, state := range r.Tasks {
			ran := all[standin.TaskName(fmt.Sprintf("%s/%d", o.id, i))] > 0
			if state == "notRun" && ran {
				tc.t.Errorf("job %s: task %d was started but is reported as not run", o.id, i)
			}
		}
	case submit.RefusedJob:
		outcomeCounts["refused"]++
		if started != 0 {
			tc.t.Errorf("job %s: got %d starts of a refused job, want 0", o.id, started)
		}
	default:
		tc.t.Errorf("job %s: got %#v, want an outcome", o.id, o.reply)
	}
}
