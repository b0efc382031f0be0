package contract

import (
	"fmt"
	"runtime"
	"testing"
)

const benchRecords = 50_000

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func benchID(n int) SubmissionID {
	id := testID("vm123-0123456789ab", testStart)
	id.Witness, id.Sequence = "vm456-0123456789ab", Sequence(n)
	return id
}

// BenchmarkLedgerMemory reports the measured and the estimated memory of a concluded
// entry with a result of 16 bytes per task.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, tasks := range []int{1, 5, 37, 370} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				count := benchRecords / tasks
				before := heapBytes()
				l := NewLedger(DefaultLimits())
				for i := range count {
					s := Submission{ID: benchID(i), Owner: "o", Tasks: make([]Task, tasks)}
					e := l.Accept(testStart, s)
					for t := range TaskIndex(tasks) {
						e.End(t, Succeeded{Result: make([]byte, 16)})
					}
					l.Conclude(e, e.Outcome())
				}
				b.ReportMetric((heapBytes()-before)/float64(count), "B/record")
				b.ReportMetric(float64(l.bytes)/float64(count), "estimated-B/record")
			}
		})
	}
}

// BenchmarkWitnessMemory reports the measured and the estimated memory of an entry with
// recorded starts, and of a settled entry.
func BenchmarkWitnessMemory(b *testing.B) {
	for _, tasks := range []int{1, 5, 37, 370} {
		for _, settled := range []bool{false, true} {
			b.Run(fmt.Sprintf("tasks=%d/settled=%t", tasks, settled), func(b *testing.B) {
				for b.Loop() {
					count := benchRecords / tasks
					before := heapBytes()
					w := NewWitness(WitnessConfig{Self: "vm456-0123456789ab", Limits: DefaultLimits()})
					for i := range count {
						id := benchID(i)
						w.Record(testStart, id.Issuer, BatchNumber(2*i+1), []Record{StartRecord{ID: id, Owner: "o", TaskCount: tasks, Tasks: []TaskIndex{0, TaskIndex(tasks - 1)}}})
						if !settled {
							continue
						}
						results := make([][]byte, tasks)
						for t := range results {
							results[t] = make([]byte, 16)
						}
						w.Record(testStart, id.Issuer, BatchNumber(2*i+2), []Record{SettleRecord{ID: id, Owner: "o", Answer: Complete{Results: results}}})
					}
					b.ReportMetric((heapBytes()-before)/float64(count), "B/record")
					b.ReportMetric(float64(w.bytes)/float64(count), "estimated-B/record")
				}
			})
		}
	}
}
