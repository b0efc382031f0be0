//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// platform has the store and the minions.
type platform struct {
	record *record
	store  *standin.Store
	direct string

	mu      sync.Mutex
	minions []*minion
	// down means that the store turns everybody away, the minions included.
	down atomic.Bool
	// floor is the version up to which the history has been dropped.
	floor atomic.Int64
}

func newPlatform(r *record) (*platform, error) {
	p := &platform{record: r, store: standin.NewStore()}
	if err := p.serveStore(); err != nil {
		return nil, err
	}
	go p.dropHistory()
	return p, nil
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// dropHistory advances the version from which on the store has its history.
func (p *platform) dropHistory() {
	for range time.Tick(500 * time.Millisecond) {
		version := p.version()
		time.AfterFunc(historyTime, func() { p.floor.Store(version) })
	}
}

// hasHistory reports whether the store has all changes after a version.
func (p *platform) hasHistory(after string) bool {
	version, err := strconv.ParseInt(after, 10, 64)
	return err != nil || version >= p.floor.Load()
}

// version returns the newest version of the store.
func (p *platform) version() int64 {
	var page struct {
		Version int64 `json:"row_version"`
	}
	response, err := http.Get("http://" + p.direct + "/-/rows-get?table=op&part=")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&page)
	return page.Version
}

func (p *platform) serveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.direct = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if p.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/-/rows-feed" && !p.hasHistory(r.URL.Query().Get("after")) {
			w.WriteHeader(http.StatusGone)
			return
		}
		p.store.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return nil
}

// leader returns the name of the VM that the replica set of a shard names first.
func (p *platform) leader(shard string) string {
	if all := p.members(shard); len(all) > 0 {
		return all[0]
	}
	return ""
}

// members returns the names of the VMs in the replica set of a shard.
func (p *platform) members(shard string) (names []string) {
	var page struct {
		Rows []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
		} `json:"rows"`
	}
	response, err := http.Get("http://" + p.direct + "/-/rows-get?" + url.Values{"table": {"lineups"}, "part": {""}}.Encode())
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return nil
	}
	for _, r := range page.Rows {
		text, err := base64.StdEncoding.DecodeString(r.Value)
		var set struct {
			Members []struct {
				Incarnation string `json:"incarnation"`
			} `json:"members"`
		}
		if r.Key != shard || err != nil || json.Unmarshal(text, &set) != nil {
			continue
		}
		for _, m := range set.Members {
			// An incarnation is the name of the VM, a dash and 8 hexadecimal digits.
			names = append(names, m.Incarnation[:len(m.Incarnation)-9])
		}
	}
	return names
}

// route is a queue of the desired state.
type route struct{ Name, Prefix, Service string }

const host = "swap.example"

// putDesired writes a desired state as the operator does and returns the time of the store's answer.
func (p *platform) putDesired(version int64, routes []route, services ...string) time.Time {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "hostname": host, "path_prefix": r.Prefix, "route_type": "non_idempotent", "timeout_ms": 1500,
			"slo_ms": 60, "priority": 0, "backend": r.Service, "max_attempts": 3, "stretch": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "max_connections": 64, "rejects_overload": true})
	}
	text, err := json.Marshal(map[string]any{"version": version, "routes": rs, "services": ss, "limits": map[string]any{"max_body_bytes": 262144}})
	if err != nil {
		fail("encode desired state: %v", err)
	}
	p.store.Put("op", "config", text)
	acked := time.Now()
	p.record.logAt(acked, "operator: version %d acknowledged, routes %v", version, routes)
	return acked
}

// start is a run that a minion has started.
type start struct {
	at      time.Time
	minion  *minion
	kind    string
	task    string
	attempt int64
}

// minion is a server that runs tasks, at an address that it keeps when it starts again.
type minion struct {
	platform    *platform
	id, service string
	zone, kind  string
	address     string
	standIn     *standin.Endpoint
	server      *http.Server

	mu     sync.Mutex
	starts []start
	active map[string]time.Time
	// draining means that the minion has reported that it leaves, left that it has.
	draining, left bool
}

const (
	minionMilliCores = 32000
	heartbeat        = 1500 * time.Millisecond
)

func (p *platform) addMinion(id, service, zone, kind string) (*minion, error) {
	m := &minion{platform: p, id: id, service: service, zone: zone, kind: kind, active: make(map[string]time.Time)}
	m.standIn = standin.NewEndpoint(standin.EndpointConfig{ID: id, Service: service, DataCentre: zone, MilliCores: minionMilliCores, Seed: 1, Observer: m})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = l.Addr().String()
	m.serve(l)
	p.mu.Lock()
	p.minions = append(p.minions, m)
	p.mu.Unlock()
	m.register()
	go func() {
		for range time.Tick(heartbeat) {
			m.register()
		}
	}()
	return m, nil
}

func (m *minion) serve(l net.Listener) {
	m.server = &http.Server{Handler: m.standIn}
	server := m.server
	go func() { _ = server.Serve(l) }()
}

// register writes the minion's entry, with its present kind, unless the store is down.
func (m *minion) register() {
	m.mu.Lock()
	kind, draining, left := m.kind, m.draining, m.left
	m.mu.Unlock()
	if m.platform.down.Load() || left {
		return
	}
	var entry map[string]any
	if err := json.Unmarshal(m.standIn.Row(m.address, draining), &entry); err != nil {
		fail("decode entry: %v", err)
	}
	entry["labels"] = []string{kind, "r1"}
	// Numbers have to stay whole.
	entry["born"], entry["sequence"] = json.Number(fmt.Sprintf("%.0f", entry["born"])), time.Now().UnixMilli()
	text, err := json.Marshal(entry)
	if err != nil {
		fail("encode entry: %v", err)
	}
	m.platform.store.Put("servers", m.id, text)
}

// crash ends the process of the minion: its connections are reset and its address refuses new ones.
func (m *minion) crash() {
	m.platform.record.log("minion %s (%s): crashes", m.id, m.kind)
	_ = m.server.Close()
	m.standIn.Restart()
}

// startAgain starts a crashed minion under its id and address, as one of another kind.
func (m *minion) startAgain(kind string) {
	m.standIn.Restart()
	m.mu.Lock()
	m.kind = kind
	m.mu.Unlock()
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		fail("listen again: %v", err)
	}
	m.platform.record.log("minion %s: starts again as kind %s", m.id, kind)
	m.serve(l)
	m.register()
}

// AttemptStarted implements standin.Observer.
func (m *minion) AttemptStarted(task string, attempt int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts = append(m.starts, start{at: at, minion: m, kind: m.kind, task: task, attempt: attempt})
	m.active[task] = at
	m.platform.record.logAt(at, "minion %s (%s, %s): starts task %s run %d", m.id, m.service, m.kind, task, attempt)
}

// AttemptEnded implements standin.Observer.
func (m *minion) AttemptEnded(task string, attempt int64, outcome string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, task)
	m.platform.record.logAt(at, "minion %s (%s, %s): task %s run %d ends %s", m.id, m.service, m.kind, task, attempt, outcome)
}

// allStarts returns the starts at all minions.
func (p *platform) allStarts() []start {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []start
	for _, m := range p.minions {
		m.mu.Lock()
		all = append(all, m.starts...)
		m.mu.Unlock()
	}
	return all
}

// running returns the tasks of a job that run now.
func (p *platform) running(job string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, m := range p.minions {
		m.mu.Lock()
		for task := range m.active {
			if len(task) > len(job) && task[:len(job)] == job {
				all = append(all, task)
			}
		}
		m.mu.Unlock()
	}
	return all
}

// drain reports that the minion drains, and returns when the store has acknowledged it. The minion serves
// on for the given time and then leaves.
func (m *minion) drain(serves time.Duration) time.Time {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.register()
	acked := time.Now()
	m.platform.record.logAt(acked, "minion %s: the store acknowledges that it drains", m.id)
	time.AfterFunc(serves, func() {
		m.mu.Lock()
		m.left = true
		m.mu.Unlock()
		m.platform.record.log("minion %s: leaves", m.id)
		m.platform.store.Remove("servers", m.id)
		_ = m.server.Close()
		m.standIn.Remove()
	})
	return acked
}
