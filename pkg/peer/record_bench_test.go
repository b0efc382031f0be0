package peer_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// acceptingHandler acknowledges all records and does nothing else.
type acceptingHandler struct{ peer.Handler }

func (acceptingHandler) HandleRecords(_ context.Context, _ vm.Incarnation, _ contract.BatchNumber, records []contract.Record) ([]contract.RecordStatus, error) {
	return make([]contract.RecordStatus, len(records)), nil
}

// BenchmarkRecord measures a batch of records that is sent to a witness and acknowledged. It
// reports the bytes per record without TCP and IP headers, and the time per record of both
// ends together. Each batch is one call, so the slope over the batch size is the cost of a
// record.
func BenchmarkRecord(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("starts/batch=%d", batch), func(b *testing.B) {
			benchmarkRecord(b, batch, func(id contract.SubmissionID) contract.Record {
				return contract.StartRecord{ID: id, Owner: "owner000", TaskCount: 5, Tasks: []contract.TaskIndex{3}}
			})
		})
		for _, tasks := range []int{1, 5, 37} {
			results := make([][]byte, tasks)
			for i := range results {
				results[i] = make([]byte, 16)
			}
			b.Run(fmt.Sprintf("answers/tasks=%d/batch=%d", tasks, batch), func(b *testing.B) {
				benchmarkRecord(b, batch, func(id contract.SubmissionID) contract.Record {
					return contract.SettleRecord{ID: id, Owner: "owner000", Answer: contract.Complete{Results: results}}
				})
			})
		}
	}
}

func benchmarkRecord(b *testing.B, batch int, record func(contract.SubmissionID) contract.Record) {
	c, bytes := pipeClient(b, acceptingHandler{})
	witness := vm.VM{Incarnation: "sur12-0123456789ab", DataCentre: "sur", PeerAddress: "10.11.12.13:7001"}
	id := contract.SubmissionID{DataCentre: "sur", Issuer: "sur11-0123456789ab", Witness: witness.Incarnation, IssuedAt: 1_765_000_000_000}
	records := make([]contract.Record, batch)
	for i := range records {
		id.Sequence = contract.Sequence(1_000_000 + i)
		records[i] = record(id)
	}
	send := func(n int) {
		if _, err := c.Record(context.Background(), witness, id.Issuer, contract.BatchNumber(n), records); err != nil {
			b.Fatal(err)
		}
	}
	// The first call also carries gob's type descriptions.
	send(1)
	bytes.Store(0)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		send(n + 2)
	}
	count := float64(b.N * batch)
	b.ReportMetric(float64(bytes.Load())/count, "B/record")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/count, "ns/record")
}
