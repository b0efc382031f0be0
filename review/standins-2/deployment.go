//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// entryLifetime is how long an entry stays without a heartbeat: three intervals.
	entryLifetime = 3 * heartbeatInterval
	// resendAfter is when a caller sends a job again that got no answer.
	resendAfter = 1300 * time.Millisecond
	dataCentre  = "amba-centro"
	otherCentre = "amba-norte"
)

// deployment is a small deployment: nodes as processes, the store, endpoints and callers.
type deployment struct {
	record   *recorder
	attempts *attempts
	store    *standin.Store
	program  string
	dir      string

	storeAddress string
	nodes        []*node
	endpoints    []*endpoint
	ctx          context.Context
	cancel       context.CancelFunc
	closeOnce    sync.Once
}

func newDeployment(program, record string) (*deployment, error) {
	r, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, attempts: &attempts{record: r, byTask: make(map[string][]*attempt)}, store: standin.NewStore(), program: program, dir: dir}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.storeAddress = serve(d.store)
	d.store.PutDesiredState(1)
	go d.expireEntries()
	return d, nil
}

// close ends all processes that the deployment has started.
func (d *deployment) close() {
	d.closeOnce.Do(func() {
		d.cancel()
		for _, n := range d.nodes {
			n.kill()
		}
		_ = os.RemoveAll(d.dir)
	})
}

// serve serves a handler on a free port.
func serve(h http.Handler) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// node is a process of the node command.
type node struct {
	name, dataCentre, callers, ready, peers, settings string
	process                                           *exec.Cmd
	exited                                            chan struct{}
	log                                               *os.File
}

// addNodes starts nodes in each data centre with settings like those that deploy/settings.toml.tmpl renders
// for a small deployment.
func (d *deployment) addNodes(count int, dataCentres ...string) {
	quoted := `"` + strings.Join(dataCentres, `", "`) + `"`
	for i := range count * len(dataCentres) {
		addresses := freeAddresses(4)
		dc := dataCentres[i%len(dataCentres)]
		n := &node{name: fmt.Sprintf("frontend-%s-%d", dc, i/len(dataCentres)+1), dataCentre: dc, callers: addresses[0], ready: addresses[1], peers: addresses[2]}
		n.settings = filepath.Join(d.dir, n.name+".toml")
		seed := n.peers
		if i > 0 {
			seed = d.nodes[0].peers
		}
		text := fmt.Sprintf(`vm = %q
dataCentre = %q
dataCentres = [%s]
seeds = [%q]

[listen]
callers = %q
ready = %q
peers = %q
metrics = %q

[store]
address = %q

[machine]
processorShare = 0.4
memoryMB = 284
openFiles = 4100
linkMbps = 1000.0

[bounds]
longestLeaseMs = 1000
stopMs = 50
resendMs = 1300
graceMs = 6000
drainMs = 2000
farFactor = 1.5
`, n.name, dc, quoted, seed, n.callers, n.ready, n.peers, addresses[3], d.storeAddress)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		d.start(n)
	}
}

func (d *deployment) start(n *node) {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	c := exec.Command(d.program, "node")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIACART_BOOT=" + n.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		panic(err)
	}
	n.process, n.exited, n.log = c, make(chan struct{}), log
	exited := n.exited
	go func() { _ = c.Wait(); _ = log.Close(); close(exited) }()
	d.record.write("process %s started", n.name)
}

// kill ends a process at once.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until all nodes tell the load balancer that they are ready.
func (d *deployment) awaitReady() {
	for _, n := range d.nodes {
		deadline := time.Now().Add(15 * time.Second)
		for !standin.IsReady(n.ready) {
			if time.Now().After(deadline) {
				panic(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// leader returns the node that last wrote the replica set of a data centre's shard to the store, its first
// member.
func (d *deployment) leader(dataCentre string) *node {
	response, err := http.Get("http://" + d.storeAddress + "/-/rows-get?table=lineups&part=")
	if err != nil {
		panic(err)
	}
	defer func() { _ = response.Body.Close() }()
	var page struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		panic(err)
	}
	var first *node
	at := -1
	for _, r := range page.Rows {
		for _, n := range d.nodes {
			if i := strings.Index(string(r.Value), n.name+"-"); r.Key == dataCentre && i >= 0 && (at < 0 || i < at) {
				first, at = n, i
			}
		}
	}
	if first == nil {
		panic("no replica set of " + dataCentre)
	}
	return first
}

// endpoint is a stand-in of an endpoint, which writes its entry at each heartbeat.
type endpoint struct {
	id, address string
	standIn     *standin.Endpoint

	mu sync.Mutex
	// cut means that the endpoint does not reach the store.
	cut       bool
	writtenAt time.Time
	listed    bool
}

// addEndpoints adds endpoints of 32 cores to a data centre, whose heartbeats are spread over the interval.
func (d *deployment) addEndpoints(dataCentre string, count int) {
	for i := range count {
		id := fmt.Sprintf("i-%02d", len(d.endpoints))
		e := &endpoint{id: id, standIn: standin.NewEndpoint(standin.EndpointConfig{
			ID: id, Service: "playout", DataCentre: dataCentre, MilliCores: 32000, Seed: uint64(len(d.endpoints)), Observer: observer{d.attempts, id},
		})}
		e.address = serve(e.standIn)
		d.endpoints = append(d.endpoints, e)
		go d.heartbeat(e, heartbeatInterval*time.Duration(i)/time.Duration(count))
	}
}

// heartbeatLag is how much later than the interval the next heartbeat is written: approximately each
// interval.
const heartbeatLag = 20 * time.Millisecond

func (d *deployment) heartbeat(e *endpoint, offset time.Duration) {
	time.Sleep(offset)
	for d.ctx.Err() == nil {
		e.mu.Lock()
		if !e.cut {
			if !e.listed && !e.writtenAt.IsZero() {
				d.record.write("entry of %s is back", e.id)
			}
			d.store.PutEndpoint(e.standIn, e.address, false)
			e.writtenAt, e.listed = time.Now(), true
		}
		e.mu.Unlock()
		time.Sleep(heartbeatInterval + heartbeatLag)
	}
}

// setCut cuts the path between an endpoint and the store, or restores it.
func (e *endpoint) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

// expireEntries removes the entries of endpoints that have been silent for three heartbeat intervals.
func (d *deployment) expireEntries() {
	for d.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		for _, e := range d.endpoints {
			e.mu.Lock()
			if e.listed && time.Since(e.writtenAt) >= entryLifetime {
				e.listed = false
				d.store.RemoveEndpoint(e.standIn)
				d.record.write("entry of %s is removed after %v of silence", e.id, entryLifetime)
			}
			e.mu.Unlock()
		}
	}
}

// send sends a job to a node until it is answered, as the platform's callers do: after no answer, 502 or
// 504 again to the next node. It returns the last status, or 0.
func (d *deployment) send(id string, at, tasks, milliCores int, runs time.Duration) int {
	body := jobBody(tasks, milliCores, runs)
	limit := 2*runs + 1500*time.Millisecond
	status := 0
	for try := range 3 {
		n := d.nodes[(at+try)%len(d.nodes)]
		d.record.write("job %s sent to %s: %d tasks of %v", id, n.name, tasks, runs)
		status = d.post(n, id, body, limit)
		d.record.write("job %s answered by %s: %d", id, n.name, status)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || d.ctx.Err() != nil {
			return status
		}
		time.Sleep(resendAfter)
	}
	return status
}

func (d *deployment) post(n *node, id string, body []byte, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/swap/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "swap.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Sequoiacart-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// lowestPort and portCount define a range below the kernel's ephemeral ports: an outgoing connection could
// take one of those between its choice and the start of the process that listens on it.
const lowestPort, portCount = 20000, 12000

// freeAddresses returns loopback addresses without a listener.
func freeAddresses(count int) []string {
	var all []string
	for len(all) < count {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		all = append(all, address)
	}
	return all
}

// jobBody is the body of a best-effort job of one step.
func jobBody(tasks, milliCores int, runs time.Duration) []byte {
	spec, err := json.Marshal(standin.Payload{RunMs: runs.Milliseconds(), MilliCores: int64(milliCores)})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"task_spec": string(spec), "best_effort": true, "steps": []map[string]any{
		{"count": tasks, "cpu": milliCores, "mem_mb": 64, "estimate_ms": runs.Milliseconds()},
	}})
	if err != nil {
		panic(err)
	}
	return body
}
