package daemon

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/platform"
)

const (
	// desiredFeedWait is how long the store may hold a request for a newer desired state. A change
	// has to be applied on all VMs within two seconds, also if a connection delivers nothing.
	desiredFeedWait = clock.Millis(1000)
	// feedWait is the same for VMs and replica sets. It may be longer, since peers send them too.
	feedWait = clock.Millis(2500)
	// endpointsFeedWait is zero, so that a read of the list of endpoints is never under way for longer than
	// the store takes to answer, and a leader that needs a current list can tell that the store is lost.
	endpointsFeedWait = clock.Millis(0)
	// leaderEndpointsPause and successorEndpointsPause are the pauses of leaders and successors
	// between reads of changes to the list of endpoints. Where endpoints leave sooner after they have
	// reported it than on the users' platform, leaders pause for maxPauseShare of the oldest list that
	// still decides where a task starts.
	leaderEndpointsPause    = clock.Millis(400)
	maxPauseShare           = 0.3
	successorEndpointsPause = clock.Millis(1500)
	// catchUpThreshold is the number of changes in an answer from which the next read follows
	// without a pause: the store's answers end at 500 rows or 1 MB, so more changes may be pending.
	// 3,000 endpoints change 2,000 rows a second; with a pause after each answer, leaders were
	// seconds behind.
	catchUpThreshold = 250
	// retryPause is the pause after a read that failed.
	retryPause = clock.Millis(150)
	// storePatience is how long an answer to a read of the list of endpoints may take, besides its
	// transfer, before the store counts as lost. The store answers within 4 ms, or 60 times slower while it
	// is overloaded; starts may wait for the answer.
	storePatience = clock.Millis(300)
)

// changeSource has the changes of a table that another VM has read.
type changeSource interface {
	// follow returns the changes after a version, and when the request for them was sent to the store, by
	// this VM's clock. It reports false if this VM has to read the store itself.
	follow(after store.Revision) (s store.Snapshot, sentAt clock.Millis, ok bool)
	// pause is the pause before the next request.
	pause() clock.Millis
}

// follower follows the changes of one table.
type follower struct {
	store store.Store
	table store.Table
	// wait is how long the store may hold a request for changes.
	wait clock.Millis
	// pause returns the pause before the next read; a negative one means that this VM does not
	// need the table now.
	pause func() clock.Millis
	// wake makes the next read due at once; it may be nil. That read goes to the store.
	wake <-chan struct{}
	// interrupts means that wake also ends a read that waits for changes. The next one does not wait.
	interrupts bool
	// relay takes the place of the store while it can; it may be nil.
	relay changeSource
	// patience returns how long after its wait an answer is overdue, and storeReported receives whether the
	// store has answered in time. Both are nil if nobody needs to know.
	patience      func(rows map[string]store.Row) clock.Millis
	storeReported func(answered bool)
	clock         clock.Clock
	logger        *eventLogger
	// changed receives the table after each read that found changes.
	changed func(tableRead)
	// unchanged is called after each read that found none; it may be nil.
	unchanged func(tableRead)
}

// tableRead is a table as of a read from the store.
type tableRead struct {
	rows    map[string]store.Row
	version store.Revision
	// changes are the rows that differ from the read before, in the order of their revisions. If whole is
	// true, the table was read as a whole instead.
	changes []store.Row
	whole   bool
	// relayed means that another VM has read the table.
	relayed bool
	// sentAt is when the request was sent, or 0 if more changes may have been pending by then.
	sentAt clock.Millis
	// gap says that rows were removed, or may have been added and removed unseen, since the read
	// before.
	gap bool
}

// run reads the table once and then follows its changes. It reads the table again if the store
// no longer has all changes.
func (f *follower) run(ctx context.Context) error {
	rows := make(map[string]store.Row)
	var version store.Revision
	loaded := false
	// due means that the next read has to go to the store at once.
	due := false
	for ctx.Err() == nil {
		pause := f.pause()
		if pause < 0 && !due {
			due = f.sleep(ctx, retryPause)
			continue
		}
		var snapshot store.Snapshot
		inTime := false
		read := tableRead{rows: rows, gap: !loaded, whole: !loaded}
		if loaded && !due && f.relay != nil {
			snapshot, read.sentAt, read.relayed, due = f.followRelay(ctx, version)
		}
		if read.relayed {
			pause = f.relay.pause()
		} else {
			var err error
			read.sentAt = f.clock.Now()
			var woken bool
			snapshot, inTime, woken, err = f.readStore(ctx, rows, version, loaded, due)
			if woken && err != nil {
				due = true
				continue
			}
			if loaded && errors.Is(err, store.ErrHistoryTruncated) {
				loaded = false
				continue
			}
			if err != nil {
				if ctx.Err() == nil {
					f.logger.storeFailed(string(f.table), err)
				}
				due = f.sleep(ctx, retryPause) || due
				continue
			}
			due = woken
			f.logger.storeAnswered(string(f.table))
		}
		if !loaded {
			clear(rows)
		}
		read.version, read.changes = snapshot.Version, applyChanges(rows, snapshot.Rows)
		read.gap = read.gap || slices.ContainsFunc(read.changes, func(r store.Row) bool { return r.Removed })
		if loaded && !read.relayed && len(snapshot.Rows) >= catchUpThreshold {
			read.sentAt = 0
		}
		switch {
		case !loaded || len(snapshot.Rows) > 0:
			f.changed(read)
		case f.unchanged != nil:
			f.unchanged(read)
		}
		if inTime {
			f.report(true)
		}
		loaded, version = true, snapshot.Version
		if pause > 0 && len(snapshot.Rows) < catchUpThreshold {
			due = f.sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

// applyChanges applies changes to the rows of a table, and returns those that are newer than the rows. The
// changes after a read of several pages begin at the version of the first page.
func applyChanges(rows map[string]store.Row, changes []store.Row) (applied []store.Row) {
	for _, r := range changes {
		if r.Revision < rows[r.Key].Revision {
			continue
		}
		if r.Removed {
			delete(rows, r.Key)
		} else {
			rows[r.Key] = r
		}
		applied = append(applied, r)
	}
	return applied
}

// readStore reads the table or its changes since a version from the store, and reports a failure. An answer
// in time is reported once what was read has been passed on. A read that is due does not wait for changes. woken
// means that the follower was woken meanwhile.
func (f *follower) readStore(ctx context.Context, rows map[string]store.Row, version store.Revision, loaded, due bool) (s store.Snapshot, inTime, woken bool, err error) {
	answered := f.watchOverdue(rows)
	reading, stop := f.interruptible(ctx)
	switch {
	case !loaded:
		s, err = f.store.Read(reading, f.table)
	case due:
		s, err = f.store.Follow(reading, f.table, version, 0)
	default:
		s, err = f.store.Follow(reading, f.table, version, f.wait)
	}
	inTime, woken = answered(), stop()
	if woken && err != nil {
		return s, inTime, woken, err
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, store.ErrHistoryTruncated) {
		f.report(false)
	}
	return s, inTime, woken, err
}

// interruptible returns a context that ends when the follower is woken, if that interrupts a read. The returned
// function ends that and tells whether it was woken.
func (f *follower) interruptible(ctx context.Context) (reading context.Context, stop func() (woken bool)) {
	if !f.interrupts {
		return ctx, func() bool { return false }
	}
	reading, cancel := context.WithCancel(ctx)
	read, watched := make(chan struct{}), make(chan struct{})
	woken := false
	go func() {
		defer close(watched)
		select {
		case <-f.wake:
			woken = true
			cancel()
		case <-read:
		}
	}()
	return reading, func() bool {
		close(read)
		<-watched
		cancel()
		return woken
	}
}

// report passes on whether the store has answered.
func (f *follower) report(answered bool) {
	if f.storeReported != nil {
		f.storeReported(answered)
	}
}

// watchOverdue reports the store as lost once an answer is overdue. The returned function ends that when there
// is an answer, and tells whether it came in time.
func (f *follower) watchOverdue(rows map[string]store.Row) (answered func() (inTime bool)) {
	if f.patience == nil {
		return func() bool { return true }
	}
	late := false
	stop, stopped := make(chan struct{}), make(chan struct{})
	overdue := f.clock.After(f.wait + f.patience(rows))
	go func() {
		defer close(stopped)
		select {
		case <-overdue:
			late = true
			f.report(false)
		case <-stop:
		}
	}()
	return func() bool {
		close(stop)
		<-stopped
		return !late
	}
}

// followRelay asks the relay for the changes after a version. It returns early if the follower is woken:
// the call may take as long as its timeout if that VM has just failed.
func (f *follower) followRelay(ctx context.Context, version store.Revision) (s store.Snapshot, sentAt clock.Millis, ok, woken bool) {
	type answer struct {
		snapshot store.Snapshot
		sentAt   clock.Millis
		ok       bool
	}
	answers := make(chan answer, 1)
	go func() {
		var a answer
		a.snapshot, a.sentAt, a.ok = f.relay.follow(version)
		answers <- a
	}()
	select {
	case a := <-answers:
		return a.snapshot, a.sentAt, a.ok, false
	case <-f.wake:
		return store.Snapshot{}, 0, false, true
	case <-ctx.Done():
		return store.Snapshot{}, 0, false, false
	}
}

// sleep waits for the delay, and reports whether the follower was woken meanwhile.
func (f *follower) sleep(ctx context.Context, delay clock.Millis) bool {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
		return true
	case <-timer.C:
	}
	return false
}

func sleep(ctx context.Context, delay clock.Millis) {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func constantPause(pause clock.Millis) func() clock.Millis {
	return func() clock.Millis { return pause }
}

func (d *Daemon) followers() []*follower {
	c := d.config.Clock
	return []*follower{
		d.operatorFollower(),
		{store: d.store, clock: c, table: store.VMs, wait: feedWait, pause: constantPause(0), logger: d.logger, changed: d.vmsChanged},
		{store: d.store, clock: c, table: store.ReplicaSets, wait: feedWait, pause: constantPause(0), logger: d.logger, changed: d.replicaSetsChanged},
		{
			store: d.store, clock: c, table: platform.Endpoints, wait: endpointsFeedWait, pause: d.endpointsPause, wake: d.traffic.readEndpoints, relay: &relay{daemon: d}, logger: d.logger,
			patience: d.storePatience, storeReported: d.storeReported, changed: d.endpointsRead, unchanged: d.endpointsRead,
		},
	}
}

// storeReported passes on whether the store has answered a read of the list of endpoints in time.
func (d *Daemon) storeReported(answered bool) { d.loop.Post(node.StoreReported{Lost: !answered}) }

// storePatience is how long the answer to a read of the list of endpoints may take.
func (d *Daemon) storePatience(rows map[string]store.Row) clock.Millis {
	bytes := link.Bytes(0)
	for _, r := range rows {
		bytes += rowBytes(r)
	}
	return storePatience + d.link.Patience() + d.link.Rate().TransferTime(bytes)
}

func (d *Daemon) endpointsPause() clock.Millis {
	if d.loop.endpoints.Load().version == 0 {
		// A VM that has just started may become leader within 100 ms.
		return 0
	}
	switch d.loop.role.Load() {
	case roleLeader:
		return min(d.leaderPause(leaderEndpointsPause), d.readPace.pause)
	case roleSuccessor:
		return min(successorEndpointsPause, d.readPace.pause)
	}
	return -1
}

// leaderPause shortens a pause between reads of the list of endpoints where a leader needs newer ones.
func (d *Daemon) leaderPause(pause clock.Millis) clock.Millis {
	return min(pause, clock.Millis(float64(d.maxListAge)*maxPauseShare))
}

// operatorFollower follows the operator's table. Where data centres may be evacuated, each read tells that the
// evacuations are current.
func (d *Daemon) operatorFollower() *follower {
	f := &follower{store: d.store, clock: d.config.Clock, table: platform.Operator, wait: desiredFeedWait, pause: constantPause(0), logger: d.logger, changed: d.desiredChanged}
	if d.maxEvacuationAge > 0 {
		f.wait = min(f.wait, clock.Millis(float64(d.maxEvacuationAge)*maxPauseShare))
		f.wake, f.interrupts = d.traffic.readOperator, true
		f.changed = func(t tableRead) {
			// The evacuations come first, so that a new desired state lets nothing start in spite of them.
			d.evacuationsRead(t)
			d.desiredChanged(t)
		}
		f.unchanged = d.evacuationsRead
	}
	return f
}

func (d *Daemon) evacuationsRead(t tableRead) {
	d.loop.Post(node.EvacuationsLoaded{State: platform.DecodeEvacuations(t.rows, t.version), ReadAt: t.sentAt})
}

func (d *Daemon) desiredChanged(t tableRead) {
	r, ok := t.rows[platform.DesiredKey]
	if !ok || r.Revision == d.desiredRevision {
		return
	}
	d.desiredRevision = r.Revision
	s, err := platform.DecodeDesired(r.Value)
	if err != nil {
		d.logger.callFailed("decode desired state", "store", err)
		return
	}
	d.loop.Post(node.DesiredStateLoaded{State: s})
}

func (d *Daemon) vmsChanged(t tableRead) {
	var all []shard.VM
	for _, r := range t.rows {
		v, err := store.DecodeVM(r)
		if err != nil {
			d.logger.callFailed("decode VM", "store", err)
			continue
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b shard.VM) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	d.loop.Post(node.VMsLoaded{VMs: all, Version: int64(t.version), OwnRevision: int64(t.rows[string(d.self.Incarnation.VM())].Revision)})
}

func (d *Daemon) replicaSetsChanged(t tableRead) {
	var all []shard.ReplicaSet
	for _, r := range t.rows {
		s, err := store.DecodeReplicaSet(r)
		if err != nil {
			d.logger.callFailed("decode lineup", "store", err)
			continue
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b shard.ReplicaSet) int { return cmp.Compare(a.Cell, b.Cell) })
	d.loop.Post(node.ReplicaSetsLoaded{ReplicaSets: all})
}

// decodedRow caches the endpoint decoded from the value of its row. Without the cache, a change
// of one row of 3,000 would take some 30 ms, since all rows are decoded again.
type decodedRow struct {
	value    []byte
	endpoint endpoint.Endpoint
	readable bool
}

// maxUnreadableLines bounds the lines about unreadable rows of one read, so that a table full of them
// does not displace the other lines of the log. The metric counts all.
const maxUnreadableLines = 3

// endpointsRead decodes the rows that have changed. Only one follower calls it, so decodedRows
// needs no lock.
func (d *Daemon) endpointsRead(t tableRead) {
	var all []endpoint.Endpoint
	var unreadable []datacentre.EndpointID
	unreadableChanges := 0
	decode := func(r store.Row) (isRelevant bool) {
		isRelevant, err := d.decodeRow(r)
		if err != nil {
			unreadableChanges++
			d.logger.endpointUnreadable(r.Key, err, unreadableChanges <= maxUnreadableLines)
		}
		return isRelevant
	}
	// A VM that has read the list between two reads of this one gets its changes from here too, so each
	// change is compared with the one before it, not with the list that this VM had.
	var relevant, renewed []store.Row
	var leaving []datacentre.EndpointID
	for _, r := range t.changes {
		if r.Removed && d.decodedRows[r.Key].endpoint.Draining {
			leaving = append(leaving, datacentre.EndpointID(r.Key))
		}
		if decode(r) {
			relevant = append(relevant, r)
		} else {
			renewed = append(renewed, r)
		}
	}
	maps.DeleteFunc(d.decodedRows, func(key string, _ decodedRow) bool { _, listed := t.rows[key]; return !listed })
	for _, r := range t.rows {
		decode(r)
		if row := d.decodedRows[r.Key]; row.readable {
			all = append(all, row.endpoint)
		} else {
			unreadable = append(unreadable, datacentre.EndpointID(r.Key))
		}
	}
	slices.SortFunc(all, func(a, b endpoint.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if !t.relayed && !t.whole {
		d.readPace.adapt(d.link.Rate().TransferTime(bytesOf(t.changes)))
	}
	d.changeLog.record(t, relevant, renewed)
	// The row may have been that of an endpoint since the read before.
	gap := t.gap || unreadableChanges > 0
	d.loop.Post(node.EndpointsLoaded{Endpoints: all, Unreadable: unreadable, Leaving: leaving, Whole: t.whole, Version: int64(t.version), ReadAt: t.sentAt, Gap: gap})
}

// decodeRow applies a change of a row to decodedRows. It reports whether the change matters to any VM, and
// the error if the row has become unreadable.
func (d *Daemon) decodeRow(r store.Row) (isRelevant bool, err error) {
	if r.Removed {
		delete(d.decodedRows, r.Key)
		return true, nil
	}
	before, found := d.decodedRows[r.Key]
	revision := endpoint.Revision(r.Revision)
	if found && bytes.Equal(before.value, r.Value) {
		if before.endpoint.Revision != revision {
			before.endpoint.Revision = revision
			d.decodedRows[r.Key] = before
		}
		return false, nil
	}
	e, err := platform.DecodeEndpoint(r)
	d.decodedRows[r.Key] = decodedRow{value: r.Value, endpoint: e, readable: err == nil}
	before.endpoint.Revision = revision
	return !found || !before.readable || err != nil || !reflect.DeepEqual(before.endpoint, e), err
}
