package demo

import (
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/measure"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

// Workload holds the data centres and jobs of one user of the project.
type Workload struct {
	Name        string
	DataCentres []datacentre.ID
	Mix         submit.Mix
	// FullSize is the workload at its full size, for the metrics of the scheduling decisions.
	FullSize measure.Workload
}

// Workloads returns the workloads of the project's users, reduced to two data centres each.
func Workloads() []Workload {
	return []Workload{
		{Name: "consorcio", DataCentres: []datacentre.ID{"centro", "norte"}, Mix: submit.ConsorcioMix(), FullSize: measure.Consorcio()},
		{Name: "trust", DataCentres: []datacentre.ID{"kingston", "portland"}, Mix: submit.TrustMix(), FullSize: measure.Trust()},
	}
}
