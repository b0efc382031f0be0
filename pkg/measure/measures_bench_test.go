package measure

import (
	"os"
	"testing"
)

// BenchmarkMeasures prints the metrics of both workloads with their targets.
func BenchmarkMeasures(b *testing.B) {
	for _, w := range []Workload{Consorcio(), Trust()} {
		b.Run(w.Name, func(b *testing.B) {
			for range b.N {
				if err := Run(Config{Workload: w, Seeds: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}).Print(os.Stdout); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
