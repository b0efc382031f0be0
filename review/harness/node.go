//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is an entry VM: a process with the command of the deploy file.
type node struct {
	name, zone                   string
	callers, ready, peers, store string
	settings, log                string
	record                       *record
	relay                        *relay

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// deployment has the entry VMs and the platform.
type deployment struct {
	dir      string
	record   *record
	platform *platform
	nodes    []*node
	zones    []string
}

func newDeployment(dir string, r *record, zones ...string) *deployment {
	p, err := newPlatform(r)
	if err != nil {
		fail("start platform: %v", err)
	}
	return &deployment{dir: dir, record: r, platform: p, zones: zones}
}

const lowestPort, portCount = 20000, 12000

var usedPorts = make(map[string]bool)

// freeAddress returns a loopback address without a listener, below the range of ephemeral ports.
func freeAddress() string {
	for i := range portCount {
		// Cases that run at the same time begin at different ports.
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+(os.Getpid()*97+i)%portCount)
		if usedPorts[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[address] = true
		return address
	}
	fail("no free port")
	return ""
}

// addNode adds an entry VM with the settings that deploy/settings.toml.tmpl gives it in the users' small
// deployment.
func (d *deployment) addNode(name, zone string) *node {
	r := newRelay(d.platform.direct)
	n := &node{
		name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), store: r.address, relay: r,
		settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log"), record: d.record,
	}
	var seeds []string
	for _, o := range d.nodes {
		if len(seeds) < 3 {
			seeds = append(seeds, `"`+o.peers+`"`)
		}
	}
	text := fmt.Sprintf(`vm = %q
dataCentre = %q
dataCentres = ["%s"]
seeds = [%s]
[listen]
callers = %q
ready = %q
peers = %q
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
farFactor = 1.5
`, name, zone, strings.Join(d.zones, `","`), strings.Join(seeds, ","), n.callers, n.ready, n.peers, n.store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fail("write settings: %v", err)
	}
	d.nodes = append(d.nodes, n)
	return n
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open log: %v", err)
	}
	c := exec.Command("target/sequoiacart", "node")
	c.Env = append(os.Environ(), "SEQUOIACART_BOOT="+n.settings, "GOMAXPROCS=1")
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, also if this one is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start node %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() { _ = c.Wait(); _ = log.Close(); close(exited) }()
	n.record.log("node %s: starts", n.name)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.log("node %s: gets signal %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready, and each shard has a leader.
func (d *deployment) startAll() {
	for _, n := range d.nodes {
		n.start()
	}
	limit := time.Now().Add(20 * time.Second)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(limit) {
				fail("node %s is not ready after 20 s", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, z := range d.zones {
		for d.platform.leader(z) == "" {
			if time.Now().After(limit) {
				fail("shard %s has no leader after 20 s", z)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// leaderAndOther returns the node that leads the shard of a zone, and another one of the zone.
func (d *deployment) leaderAndOther(zone string) (leader, other *node) {
	name := d.platform.leader(zone)
	for _, n := range d.nodes {
		switch {
		case n.name == name:
			leader = n
		case n.zone == zone && other == nil:
			other = n
		}
	}
	if leader == nil || other == nil {
		fail("zone %s has leader %q and no other node", zone, name)
	}
	return leader, other
}

// stopAll kills all nodes that this program has started.
func (d *deployment) stopAll() {
	for _, n := range d.nodes {
		n.mu.Lock()
		c, exited := n.process, n.exited
		n.mu.Unlock()
		if c != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			<-exited
		}
	}
}
