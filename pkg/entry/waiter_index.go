package entry

import "github.com/sequoiacart/sequoiacart/pkg/contract"

// waiterIndex holds the waiters for the end of each submission. Adding and removing take O(1),
// since many callers may disconnect at the same time.
type waiterIndex struct {
	byEntry   map[*contract.LedgerEntry][]WaiterID
	positions map[WaiterID]waiterPosition
}

type waiterPosition struct {
	entry *contract.LedgerEntry
	index int
}

func newWaiterIndex() *waiterIndex {
	return &waiterIndex{
		byEntry:   make(map[*contract.LedgerEntry][]WaiterID),
		positions: make(map[WaiterID]waiterPosition),
	}
}

func (w *waiterIndex) add(id WaiterID, e *contract.LedgerEntry) {
	w.positions[id] = waiterPosition{entry: e, index: len(w.byEntry[e])}
	w.byEntry[e] = append(w.byEntry[e], id)
}

// remove reports whether the waiter was still waiting.
func (w *waiterIndex) remove(id WaiterID) bool {
	p, ok := w.positions[id]
	if !ok {
		return false
	}
	delete(w.positions, id)
	ids := w.byEntry[p.entry]
	last := len(ids) - 1
	if p.index != last {
		ids[p.index] = ids[last]
		w.positions[ids[last]] = p
	}
	if last == 0 {
		delete(w.byEntry, p.entry)
		return true
	}
	w.byEntry[p.entry] = ids[:last]
	return true
}

// take removes and returns all waiters for a submission.
func (w *waiterIndex) take(e *contract.LedgerEntry) []WaiterID {
	ids := w.byEntry[e]
	delete(w.byEntry, e)
	for _, id := range ids {
		delete(w.positions, id)
	}
	return ids
}
