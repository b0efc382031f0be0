package crash

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// Retention is how long a crash counts against the tasks that ran there. A caller waits for a
	// minute at most, and sends a job again within seconds after that.
	Retention = 2 * clock.Minute
	// CommonCauseWindow is the time within which the crashes of several endpoints of a shard count as one
	// failure of a rack or of its power supply. Connections break at once, and a leader opens the next two
	// within 20 ms.
	CommonCauseWindow = clock.Millis(50)
	// CommonCauseEndpoints is how many endpoints have to crash within CommonCauseWindow.
	CommonCauseEndpoints = 4
	// ProofTimeout is how long a suspected crash may lack a proof and still keep a task from starting.
	// Endpoints that crash are back after some seconds, and the new instance is the proof.
	ProofTimeout = 6 * clock.Second
	// provingCrashes is how many endpoints have to crash under a task that is given up.
	provingCrashes = 2
	// provingWeakCrashes is the same if some had not confirmed the start of the task.
	provingWeakCrashes = 3
	// maxRecords and maxTasks bound the memory of a history, and the messages and rows made from it.
	maxRecords = 256
	maxTasks   = 64
	// maxCommonRecords bounds the records of one common cause. Further ones say nothing more.
	maxCommonRecords = 16
)

// Revision counts the changes of a history. Each VM counts its own.
type Revision uint64

// History holds the recent crashes that a VM knows of. It belongs to the control goroutine.
type History struct {
	// entries are in ascending order of their revisions.
	entries  []*entry
	byID     map[ID]*entry
	byTask   map[job.TaskName][]*entry
	revision Revision
	// cleared are tasks that have ended by themselves after a crash.
	cleared map[job.TaskName]bool
}

// entry is a crash by the clock of this VM.
type entry struct {
	record   Record
	at       clock.Millis
	revision Revision
	// removed are tasks whose starts were never sent there.
	removed []job.TaskName
	// common means that other endpoints of the shard crashed at about the same time.
	common bool
	// isolated means that the only task there was a suspect already.
	isolated bool
}

// NewHistory returns a history without crashes.
func NewHistory() *History {
	return &History{byID: make(map[ID]*entry), byTask: make(map[job.TaskName][]*entry), cleared: make(map[job.TaskName]bool)}
}

// Add adds a crash, or the tasks that another VM found to have run at the same incarnation.
func (h *History) Add(r Record, now clock.Millis) {
	at := now - max(r.Age, 0)
	if at <= now-Retention {
		return
	}
	e := h.byID[r.ID]
	if e != nil && r.Withdrawals > e.record.Withdrawals {
		h.drop(e)
		e = nil
	}
	if e == nil {
		if h.countCommon(r.Shard, at) >= maxCommonRecords {
			return
		}
		isolated := len(r.Tasks) == 1 && h.Verdict(r.Tasks[0], now) != Unsuspected
		e = &entry{record: Record{ID: r.ID, Shard: r.Shard, Withdrawals: r.Withdrawals}, at: at, isolated: isolated}
		h.byID[r.ID] = e
	} else if !e.adds(r) {
		return
	}
	e.record.Abrupt, e.record.Proved = e.record.Abrupt || r.Abrupt, e.record.Proved || r.Proved
	// Records that were handed out share the tasks, so these are copied.
	tasks := slices.Clone(e.record.Tasks)
	for _, n := range r.Tasks {
		if !slices.Contains(tasks, n) && !slices.Contains(e.removed, n) && len(tasks) < maxTasks {
			tasks = append(tasks, n)
			if slices.Contains(r.Unconfirmed, n) {
				e.record.Unconfirmed = append(slices.Clone(e.record.Unconfirmed), n)
			}
			h.byTask[n] = append(h.byTask[n], e)
		}
	}
	slices.Sort(tasks)
	e.record.Tasks = tasks
	e.record.Withdrawn = e.record.Withdrawn || r.Withdrawn
	h.entries = slices.DeleteFunc(h.entries, func(o *entry) bool { return o == e })
	h.revision++
	e.revision = h.revision
	h.entries = append(h.entries, e)
	h.updateCommonCauses(e)
	if len(h.entries) > maxRecords {
		h.drop(slices.MinFunc(h.entries, func(a, b *entry) int { return int(a.at - b.at) }))
	}
}

// adds reports whether a record of the same crash has news.
func (e *entry) adds(r Record) bool {
	if r.Withdrawals < e.record.Withdrawals {
		return false
	}
	return r.Withdrawn && !e.record.Withdrawn || r.Proved && !e.record.Proved || r.Abrupt && !e.record.Abrupt || len(e.record.Tasks) < maxTasks && slices.ContainsFunc(r.Tasks, func(n job.TaskName) bool {
		return !slices.Contains(e.record.Tasks, n) && !slices.Contains(e.removed, n)
	})
}

// HasTask reports whether a task ran at a crash whose name matches.
func (h *History) HasTask(matches func(job.TaskName) bool) bool {
	for n := range h.byTask {
		if matches(n) {
			return true
		}
	}
	return false
}

// Suspect adds a crash that is not proved.
func (h *History) Suspect(r Record, now clock.Millis) {
	r.Withdrawals = h.withdrawals(r.ID)
	h.Add(r, now)
}

// Prove adds the proof of a crash. The tasks of the record count only if the crash was not noticed
// before.
func (h *History) Prove(r Record, now clock.Millis) {
	if e := h.byID[r.ID]; e != nil && !e.record.Withdrawn {
		r.Tasks = nil
	}
	r.Proved, r.Withdrawals = true, h.withdrawals(r.ID)
	h.Add(r, now)
}

// withdrawals counts the crashes of an incarnation that were withdrawn.
func (h *History) withdrawals(id ID) int {
	e := h.byID[id]
	switch {
	case e == nil:
		return 0
	case e.record.Withdrawn:
		return e.record.Withdrawals + 1
	}
	return e.record.Withdrawals
}

// Withdraw takes back a crash, if it has an age: the incarnation has answered since.
func (h *History) Withdraw(id ID, age, now clock.Millis) {
	if e := h.byID[id]; e != nil && !e.record.Withdrawn && now >= e.at+age {
		r := e.recordAt(now)
		r.Withdrawn = true
		h.Add(r, now)
	}
}

// updateCommonCauses decides again which crashes around a point in time have a cause in common.
func (h *History) updateCommonCauses(around *entry) {
	for _, e := range h.entries {
		if e.record.Shard == around.record.Shard && e.at >= around.at-CommonCauseWindow && e.at <= around.at+CommonCauseWindow {
			e.common = h.hasCommonCause(e)
		}
	}
}

// hasCommonCause reports whether so many endpoints of the shard crashed together with this one that no
// task of theirs can have been the cause. Withdrawn crashes say nothing, and one of an endpoint that was
// held for a suspect has its own explanation.
func (h *History) hasCommonCause(e *entry) bool {
	if e.record.Withdrawn || e.isolated {
		return false
	}
	for _, first := range h.entries {
		if first.at < e.at-CommonCauseWindow || first.at > e.at {
			continue
		}
		together := make(map[datacentre.EndpointID]bool)
		for _, o := range h.entries {
			if o.record.Shard == e.record.Shard && !o.record.Withdrawn && !o.isolated && o.at >= first.at && o.at <= first.at+CommonCauseWindow {
				together[o.record.ID.Endpoint] = true
			}
		}
		if len(together) >= CommonCauseEndpoints {
			return true
		}
	}
	return false
}

// countCommon counts the crashes around a point in time that have a cause in common.
func (h *History) countCommon(s shard.ID, at clock.Millis) int {
	n := 0
	for _, e := range h.entries {
		if e.common && e.record.Shard == s && e.at >= at-CommonCauseWindow && e.at <= at+CommonCauseWindow {
			n++
		}
	}
	return n
}

// Remove removes a task from a crash: its start was never sent to that incarnation.
func (h *History) Remove(id ID, n job.TaskName) {
	e := h.byID[id]
	if e == nil {
		return
	}
	e.removed = append(e.removed, n)
	e.record.Tasks = slices.DeleteFunc(slices.Clone(e.record.Tasks), func(o job.TaskName) bool { return o == n })
	h.unlink(e, n)
}

// Clear ends the suspicion of a task that has ended by itself.
func (h *History) Clear(n job.TaskName) {
	if len(h.byTask[n]) > 0 {
		h.cleared[n] = true
	}
}

// Verdict says what the crashes under a task say about it.
func (h *History) Verdict(n job.TaskName, now clock.Millis) Verdict {
	if len(h.byTask) == 0 || h.cleared[n] {
		return Unsuspected
	}
	verdict := Unsuspected
	var proved, expected evidence
	for _, e := range h.counted(n) {
		verdict = Suspected
		if !e.record.Abrupt {
			continue
		}
		strong := !slices.Contains(e.record.Unconfirmed, n)
		alone := !e.common && !slices.ContainsFunc(e.record.Tasks, func(o job.TaskName) bool { return o != n && !h.cleared[o] })
		switch {
		case e.record.Proved && now >= e.at+CommonCauseWindow:
			proved.add(strong, alone)
			expected.add(strong, alone)
		case e.record.Proved || now < e.at+ProofTimeout:
			expected.add(strong, alone)
		}
	}
	switch {
	case proved.suffices():
		return Deadly
	case expected.suffices():
		return Pending
	}
	return verdict
}

// counted returns the crashes that a task can have caused. One with a common cause counts only if there
// is another one: a rack that fails does not hit the same task twice.
func (h *History) counted(n job.TaskName) []*entry {
	var own, common []*entry
	for _, e := range h.byTask[n] {
		switch {
		case e.record.Withdrawn:
		case e.common:
			common = append(common, e)
		default:
			own = append(own, e)
		}
	}
	if len(common) < 2 {
		return own
	}
	return append(own, common...)
}

// evidence sums up the crashes under a task.
type evidence struct {
	strong, weak int
	alone        bool
}

func (v *evidence) add(strong, alone bool) {
	if strong {
		v.strong++
	} else {
		v.weak++
	}
	v.alone = v.alone || alone
}

func (v *evidence) suffices() bool {
	return v.alone && (v.strong >= provingCrashes || v.strong+v.weak >= provingWeakCrashes)
}

// Crashes returns the crashes that count against a task.
func (h *History) Crashes(n job.TaskName, now clock.Millis) []Record {
	var all []Record
	for _, e := range h.counted(n) {
		all = append(all, e.recordAt(now))
	}
	return all
}

// Deadly returns the tasks that are proved to be deadly, in ascending order.
func (h *History) Deadly(now clock.Millis) []job.TaskName {
	var all []job.TaskName
	for n := range h.byTask {
		if h.Verdict(n, now) == Deadly {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all
}

// Revision returns the revision of the latest change.
func (h *History) Revision() Revision { return h.revision }

// Since returns the crashes that were added after a revision, the oldest first and limit at most,
// and the revision that the receiver then has.
func (h *History) Since(r Revision, limit int, now clock.Millis) ([]Record, Revision) {
	var all []Record
	for _, e := range h.entries {
		if e.revision <= r {
			continue
		}
		if len(all) == limit {
			return all, r
		}
		all = append(all, e.recordAt(now))
		r = e.revision
	}
	return all, h.revision
}

// Latest returns the latest crashes, the oldest first and limit at most.
func (h *History) Latest(limit int, now clock.Millis) []Record {
	all, _ := h.Since(0, len(h.entries), now)
	return all[max(0, len(all)-limit):]
}

// Expire removes the crashes that are older than Retention.
func (h *History) Expire(now clock.Millis) {
	for _, e := range slices.Clone(h.entries) {
		if e.at <= now-Retention {
			h.drop(e)
		}
	}
}

func (h *History) drop(e *entry) {
	h.entries = slices.DeleteFunc(h.entries, func(o *entry) bool { return o == e })
	delete(h.byID, e.record.ID)
	for _, n := range e.record.Tasks {
		h.unlink(e, n)
	}
}

func (h *History) unlink(e *entry, n job.TaskName) {
	rest := slices.DeleteFunc(h.byTask[n], func(o *entry) bool { return o == e })
	h.byTask[n] = rest
	if len(rest) == 0 {
		delete(h.byTask, n)
		delete(h.cleared, n)
	}
}

func (e *entry) recordAt(now clock.Millis) Record {
	r := e.record
	r.Age = now - e.at
	return r
}
