package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report holds the metrics of one workload.
type Report struct {
	Workload string
	Seeds    []uint64
	// Policies holds the names of the columns; sequoiacart is the first.
	Policies []string
	Rows     []Row
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seeds %v\n", r.Workload, r.Seeds)
	fmt.Fprintf(t, "metric\ttarget\t%s\t\n", strings.Join(r.Policies, "\t"))
	for _, row := range r.Rows {
		verdict := "met"
		switch {
		case row.Target == "":
			verdict = "no target"
		case !row.Met():
			verdict = "MISSED"
		}
		fmt.Fprintf(t, "%s\t%s\t", row.Metric, row.Target)
		for _, v := range row.Values {
			fmt.Fprintf(t, "%.4g\t", v)
		}
		fmt.Fprintf(t, "%s\n", verdict)
	}
	return t.Flush()
}
