package bundle

import (
	"fmt"
	"testing"
)

// BenchmarkVerify measures the cost of one change at a VM that has the previous version: the
// time to verify the new version, and the bytes to fetch (the head and changed sections).
func BenchmarkVerify(b *testing.B) {
	for _, owners := range []int{12, 120} {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) {
			h := &history{}
			base := testBundle(owners)
			first := h.add(base, "norte", "2026-11")
			present := make(Sections)
			for _, d := range first.SectionDigests() {
				present[d] = h.sections[d]
			}
			changed := h.add(withShare(base, 2), "norte", "2026-11")
			bytes := len(EncodeHead(changed))
			for _, d := range present.Missing(changed) {
				bytes += len(h.sections[d])
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Verify(h.pin(), changed, h.sections); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/change")
		})
	}
}
