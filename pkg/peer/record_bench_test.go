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

// BenchmarkRecord measures a batch of records on its way to a witness and back: the bytes
// for each record, without the headers of TCP and IP, and the time for each at both ends
// together. Every batch is a call of its own, so the slope over the size is the record's.
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
	// The first call carries the descriptions of the types.
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
