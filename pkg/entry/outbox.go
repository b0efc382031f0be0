package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

// outbox gathers the records for one witness. One batch is under way at a time; what
// arrives meanwhile forms the next batch.
type outbox struct {
	waiting  []outgoing
	underWay []outgoing
	batch    contract.BatchNumber
}

// outgoing is a record and what it holds up: a start, or the end of the submission.
type outgoing struct {
	record contract.Record
	entry  *contract.LedgerEntry
	start  dispatch.Start
}

func (o *outbox) add(out outgoing) {
	o.waiting = append(o.waiting, out)
}

// nextBatch returns the next batch, or nothing while one is under way.
func (o *outbox) nextBatch() []contract.Record {
	if len(o.underWay) > 0 || len(o.waiting) == 0 {
		return nil
	}
	o.underWay, o.waiting = o.waiting, o.underWay[:0]
	records := make([]contract.Record, len(o.underWay))
	for i, out := range o.underWay {
		records[i] = out.record
	}
	return records
}

// answered takes the batch that was under way.
func (o *outbox) answered() []outgoing {
	batch := o.underWay
	o.underWay = nil
	return batch
}

// retry puts the batch that was under way in front of what waits.
func (o *outbox) retry() {
	o.waiting = append(o.underWay, o.waiting...)
	o.underWay = nil
}
