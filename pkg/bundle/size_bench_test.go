package bundle

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSize reports the encoded sizes of the parts of a bundle, and the memory of a
// verified bundle with its sections.
func BenchmarkSize(b *testing.B) {
	for _, owners := range []int{12, 120} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) {
			type vmBundle struct {
				sections  Sections
				candidate Candidate
			}
			var copies []vmBundle
			var last Head
			before := heapBytes()
			for range b.N {
				h := &history{}
				last = h.add(testBundle(owners), "norte", "2026-11")
				c, err := Verify(h.pin(), last, h.sections)
				if err != nil {
					b.Fatal(err)
				}
				copies = append(copies, vmBundle{h.sections, c})
			}
			b.ReportMetric((heapBytes()-before)/float64(b.N), "B/memory")
			total := 0
			for _, s := range copies[0].sections {
				total += len(s)
			}
			governance := len(copies[0].sections[last.Governance[0].Section])
			b.ReportMetric(float64(len(EncodeHead(last))), "B/head")
			b.ReportMetric(float64(governance), "B/governance")
			b.ReportMetric(float64(total-governance)/float64(owners), "B/owner-section")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
