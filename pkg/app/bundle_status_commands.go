package app

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
)

type wireFleet struct {
	Version    uint64          `json:"version"`
	Head       string          `json:"head"`
	Operator   string          `json:"operator"`
	Candidates []wireCandidate `json:"candidates"`
	VMs        []wireVMStatus  `json:"vms"`
}

type wireVMStatus struct {
	Incarnation string              `json:"incarnation"`
	DataCentre  string              `json:"dataCentre"`
	Version     uint64              `json:"version"`
	Reachable   bool                `json:"reachable"`
	Reason      string              `json:"reason,omitempty"`
	Prepared    []wirePreparedState `json:"prepared"`
}

type wirePreparedState struct {
	Candidate string `json:"candidate"`
	Ready     bool   `json:"ready"`
	Reason    string `json:"reason,omitempty"`
}

func newBundleStatusCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("status", stderr).withPlatform()
	return f.command("status", "Shows the version in force, the candidates, and the version and reachability of each VM.",
		"status --output json", func(ctx context.Context) error {
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			s, err := clients.fleet.Status(ctx)
			if err != nil {
				return errors.Trace(err)
			}
			return f.print(stdout, encodeFleet(s), "%s", fleetTable(s))
		})
}

func encodeFleet(s operator.FleetStatus) wireFleet {
	w := wireFleet{
		Version:    uint64(s.Head.Head.Version),
		Head:       string(s.Head.Head.Digest),
		Operator:   string(s.Head.Operator),
		Candidates: []wireCandidate{},
		VMs:        []wireVMStatus{},
	}
	for _, c := range s.Candidates {
		w.Candidates = append(w.Candidates, encodeCandidate(c))
	}
	for _, v := range s.VMs {
		status := wireVMStatus{
			Incarnation: string(v.VM.Incarnation),
			DataCentre:  string(v.VM.DataCentre),
			Version:     uint64(v.Status.InForce.Version),
			Reachable:   v.Reachable,
			Reason:      v.Reason,
			Prepared:    []wirePreparedState{},
		}
		for _, p := range v.Status.Prepared {
			status.Prepared = append(status.Prepared, wirePreparedState{Candidate: string(p.Candidate), Ready: p.Ready, Reason: p.Reason})
		}
		w.VMs = append(w.VMs, status)
	}
	return w
}

func fleetTable(s operator.FleetStatus) string {
	var text strings.Builder
	if s.Head.Head.Version == 0 {
		text.WriteString("no bundle has been rolled yet\n")
	} else {
		fmt.Fprintf(&text, "version %d is in force, rolled by %s\n", s.Head.Head.Version, s.Head.Operator)
	}
	for _, c := range s.Candidates {
		state := "unsigned"
		if c.Signed() {
			state = "signed"
		}
		fmt.Fprintf(&text, "candidate %s: version %d, %s, last changed by %s\n", c.ID, c.Head.Version, state, c.Operator)
	}
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VM\tdata centre\tversion\treach\tcandidates")
	for _, v := range s.VMs {
		reachability := "reachable"
		if !v.Reachable {
			reachability = "out of reach, as last reported"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", v.VM.Incarnation, v.VM.DataCentre, v.Status.InForce.Version, reachability, preparedText(v.Status.Prepared))
	}
	_ = table.Flush()
	return text.String()
}

func preparedText(prepared []bundle.Readiness) string {
	texts := make([]string, len(prepared))
	for i, p := range prepared {
		state := "ready"
		if !p.Ready {
			state = "not ready: " + p.Reason
		}
		texts[i] = string(p.Candidate)[:min(len(p.Candidate), tableDigestHexDigits)] + " " + state
	}
	return strings.Join(texts, "; ")
}

type wireHistory struct {
	Version           uint64 `json:"version"`
	Head              string `json:"head"`
	Month             string `json:"month"`
	Signer            string `json:"signer"`
	ChangesGovernance bool   `json:"changesGovernance"`
}

const defaultHistoryCount = 20

func newBundleHistoryCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := newBundleFlags("history", stderr).withPlatform()
	count := f.set.Int("count", defaultHistoryCount, "number of versions to show, newest first")
	return f.command("history", "Shows the versions that were in force, with their sign-offs.",
		"history --count 5", func(ctx context.Context) error {
			clients, err := f.open()
			if err != nil {
				return errors.Trace(err)
			}
			defer clients.close()
			heads, err := clients.operator.History(ctx, *count)
			if err != nil {
				return errors.Trace(err)
			}
			history := []wireHistory{}
			var text strings.Builder
			for _, h := range heads {
				last := h.Governance[len(h.Governance)-1]
				w := wireHistory{
					Version: uint64(h.Version), Head: string(h.Digest()), Month: string(h.SignOff.Month),
					Signer: string(h.SignOff.Signer), ChangesGovernance: last.Version == h.Version,
				}
				history = append(history, w)
				fmt.Fprintf(&text, "version %d, signed by %s for %s, head %s\n", w.Version, w.Signer, w.Month, w.Head)
			}
			return f.print(stdout, history, "%s", text.String())
		})
}
