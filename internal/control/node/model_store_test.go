package node_test

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// modelStore is the platform's store: tables of rows with versions from one counter.
type modelStore struct {
	world  *world
	random *rand.Rand

	version int64
	rows    map[storeTable]map[string]storeRow
	log     map[storeTable][]storeRow
	// waiting are the feeds that wait for a change of a table.
	waiting map[storeTable][]func()
	// heartbeatAt is when each endpoint last wrote its row.
	heartbeatAt map[datacentre.EndpointID]micros

	// evacuatedSince is when the store accepted the request to evacuate each data centre that is to be empty.
	evacuatedSince map[datacentre.ID]micros

	downUntil micros
	// refusedUntil is until when the store turns a VM away.
	refusedUntil map[string]micros
	// slowUntil is until when answers take long.
	slowUntil micros
}

type storeTable string

const (
	tableOperator    storeTable = "op"
	tableVMs         storeTable = "vms"
	tableReplicaSets storeTable = "lineups"
	tableEndpoints   storeTable = "servers"
	tableCrashes     storeTable = "crashes"

	tableCancellations storeTable = "cancellations"
)

// storeRow is a row or the record of its removal.
type storeRow struct {
	key     string
	value   any
	version int64
	removed bool
	at      micros
}

// modelHistory is how long the store keeps changes.
const modelHistory = 15 * second

// rowExpiry is how long an endpoint may be silent before its row is removed.
const rowExpiry = 3 * modelHeartbeat

func newModelStore(w *world) *modelStore {
	return &modelStore{
		world: w, random: w.random("store"), rows: make(map[storeTable]map[string]storeRow), log: make(map[storeTable][]storeRow),
		waiting: make(map[storeTable][]func()), heartbeatAt: make(map[datacentre.EndpointID]micros), refusedUntil: make(map[string]micros),
		evacuatedSince: make(map[datacentre.ID]micros),
	}
}

// put writes a row if it has the expected version; -1 means any, 0 that there is no row.
func (s *modelStore) put(t storeTable, key string, value any, expected int64) (int64, bool) {
	if current := s.rows[t][key]; expected >= 0 && current.version != expected {
		return 0, false
	}
	s.version++
	r := storeRow{key: key, value: value, version: s.version}
	if s.rows[t] == nil {
		s.rows[t] = make(map[string]storeRow)
	}
	s.rows[t][key] = r
	s.changed(t, r)
	return s.version, true
}

func (s *modelStore) remove(t storeTable, key string) {
	if _, ok := s.rows[t][key]; !ok {
		return
	}
	s.version++
	delete(s.rows[t], key)
	s.changed(t, storeRow{key: key, version: s.version, removed: true})
}

func (s *modelStore) changed(t storeTable, r storeRow) {
	r.at = s.world.now
	s.log[t] = append(s.log[t], r)
	waiting := s.waiting[t]
	s.waiting[t] = nil
	for _, w := range waiting {
		w()
	}
}

// all returns the rows of a table in the order of their keys.
func (s *modelStore) all(t storeTable) []storeRow {
	return slices.SortedFunc(maps.Values(s.rows[t]), func(a, b storeRow) int { return cmp.Compare(a.key, b.key) })
}

// since returns the rows that have changed after a version.
func (s *modelStore) since(t storeTable, version int64) []storeRow {
	log := s.log[t]
	first, _ := slices.BinarySearchFunc(log, version+1, func(r storeRow, v int64) int { return cmp.Compare(r.version, v) })
	return log[first:]
}

// isTruncated reports whether the store has dropped a change of a table after a version.
func (s *modelStore) isTruncated(t storeTable, version int64) bool {
	rows := s.since(t, version)
	return len(rows) > 0 && rows[0].at < s.world.now-modelHistory
}

// serve answers a request of a VM unless the store is unavailable.
func (s *modelStore) serve(x *exchange, request func()) {
	switch {
	case s.world.now < s.downUntil || s.world.now < s.refusedUntil[x.vm.name]:
		if s.random.IntN(2) == 0 {
			x.answer(func() { x.fail(callBroken) })
		}
	case s.world.now < s.slowUntil:
		s.world.after(micros(s.random.Int64N(1500))*ms, request)
	default:
		s.world.after(ms, request)
	}
}

// endpointWrites records the heartbeat of an endpoint. It is lost while the store is down.
func (s *modelStore) endpointWrites(row endpoint.Endpoint) {
	if s.world.now < s.downUntil {
		return
	}
	s.heartbeatAt[row.ID] = s.world.now
	e := s.world.endpoint(row.ID)
	e.recordReport(row)
	if row.Born == e.born && e.drainingSince == 0 && row.Draining {
		e.drainingSince = s.world.now
	}
	if s.world.now < e.oddUntil {
		s.put(tableEndpoints, string(row.ID), unreadableRow{}, -1)
	} else {
		s.put(tableEndpoints, string(row.ID), row, -1)
	}
	at := s.world.now
	s.world.after(rowExpiry, func() {
		if s.heartbeatAt[row.ID] == at {
			s.world.trace.add(record{endpoint: row.ID, format: "row expires"})
			s.remove(tableEndpoints, string(row.ID))
		}
	})
}
