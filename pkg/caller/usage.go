package caller

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type wireReport struct {
	Owners []wireOwnerReport `json:"owners"`
	// DataCentres holds the data centres whose usage this VM has received, and its own.
	DataCentres []wireDataCentreReport `json:"dataCentres"`
	VMs         []wireVMReport         `json:"vms"`
	// VersionInForce is the version of the bundle that defines the shares.
	VersionInForce uint64        `json:"versionInForce"`
	SignOffs       []wireSignOff `json:"signOffs"`
}

type wireSignOff struct {
	Version uint64 `json:"version"`
	Month   string `json:"month"`
	Signer  string `json:"signer"`
	Digest  string `json:"digest"`
}

type wireOwnerReport struct {
	Owner string    `json:"owner"`
	Share int       `json:"share"`
	Usage wireUsage `json:"usage"`
}

type wireDataCentreReport struct {
	DataCentre string      `json:"dataCentre"`
	AgeMs      int64       `json:"ageMs"`
	Usage      []wireUsage `json:"usage"`
}

type wireVMReport struct {
	VM    string      `json:"vm"`
	AgeMs int64       `json:"ageMs"`
	Usage []wireUsage `json:"usage"`
}

type wireUsage struct {
	Owner         string `json:"owner"`
	SlotMs        int64  `json:"slotMs"`
	BacklogTasks  int    `json:"backlogTasks"`
	StartedTasks  int64  `json:"startedTasks"`
	RefusedJobs   int64  `json:"refusedJobs"`
	WaitedMs      int64  `json:"waitedMs"`
	LongestWaitMs int64  `json:"longestWaitMs"`
}

func (s *Server) usage(c echo.Context) error {
	report, err := s.config.Service.Usage(c.Request().Context())
	if err != nil {
		return writeProblem(c, http.StatusServiceUnavailable, problem{
			Type: typeRefused, Step: "read usage", Detail: err.Error(),
			Action: "ask again, or ask another entry VM", RetryAfterMs: int64(retryDelay),
		})
	}
	return c.JSON(http.StatusOK, encodeReport(report))
}

// EncodeReport returns the answer to GET /v1/usage.
func EncodeReport(r accounting.Report) []byte {
	// The wire types hold only strings, numbers and lists.
	body, _ := json.Marshal(encodeReport(r))
	return body
}

func encodeReport(r accounting.Report) wireReport {
	w := wireReport{Owners: []wireOwnerReport{}, DataCentres: []wireDataCentreReport{}, VMs: []wireVMReport{}, VersionInForce: uint64(r.InForce), SignOffs: []wireSignOff{}}
	for _, s := range r.SignOffs {
		w.SignOffs = append(w.SignOffs, wireSignOff{Version: uint64(s.Ref.Version), Month: string(s.Month), Signer: string(s.Signer), Digest: string(s.Ref.Digest)})
	}
	for _, o := range r.Owners {
		w.Owners = append(w.Owners, wireOwnerReport{Owner: string(o.Owner), Share: int(o.Share), Usage: encodeUsage(o.Usage)})
	}
	for _, d := range r.DataCentres {
		w.DataCentres = append(w.DataCentres, wireDataCentreReport{DataCentre: string(d.DataCentre), AgeMs: int64(d.Age), Usage: encodeUsages(d.Usage)})
	}
	for _, v := range r.VMs {
		w.VMs = append(w.VMs, wireVMReport{VM: string(v.VM), AgeMs: int64(v.Age), Usage: encodeUsages(v.Usage)})
	}
	return w
}

// DecodeReport reads the answer to GET /v1/usage.
func DecodeReport(body []byte) (accounting.Report, error) {
	var w wireReport
	if err := json.Unmarshal(body, &w); err != nil {
		return accounting.Report{}, errors.Annotate(err, "decode usage")
	}
	r := accounting.Report{InForce: bundle.Version(w.VersionInForce)}
	for _, s := range w.SignOffs {
		r.SignOffs = append(r.SignOffs, bundle.SignedVersion{
			Ref:   bundle.Ref{Version: bundle.Version(s.Version), Digest: bundle.Digest(s.Digest)},
			Month: bundle.Month(s.Month), Signer: owner.ID(s.Signer),
		})
	}
	for _, o := range w.Owners {
		r.Owners = append(r.Owners, accounting.OwnerReport{Owner: owner.ID(o.Owner), Share: owner.Share(o.Share), Usage: decodeUsage(o.Usage)})
	}
	for _, d := range w.DataCentres {
		r.DataCentres = append(r.DataCentres, accounting.DataCentreReport{DataCentre: datacentre.ID(d.DataCentre), Age: clock.Millis(d.AgeMs), Usage: decodeUsages(d.Usage)})
	}
	for _, v := range w.VMs {
		r.VMs = append(r.VMs, accounting.VMReport{VM: vm.Incarnation(v.VM), Age: clock.Millis(v.AgeMs), Usage: decodeUsages(v.Usage)})
	}
	return r, nil
}

func encodeUsages(all []dispatch.OwnerUsage) []wireUsage {
	encoded := make([]wireUsage, len(all))
	for i, u := range all {
		encoded[i] = encodeUsage(u)
	}
	return encoded
}

func decodeUsages(encoded []wireUsage) []dispatch.OwnerUsage {
	all := make([]dispatch.OwnerUsage, len(encoded))
	for i, w := range encoded {
		all[i] = decodeUsage(w)
	}
	return all
}

func encodeUsage(u dispatch.OwnerUsage) wireUsage {
	return wireUsage{
		Owner: string(u.Owner), SlotMs: int64(u.SlotTime), BacklogTasks: u.Backlog, StartedTasks: u.Started,
		RefusedJobs: u.Refused, WaitedMs: int64(u.Waited), LongestWaitMs: int64(u.LongestWait),
	}
}

func decodeUsage(w wireUsage) dispatch.OwnerUsage {
	return dispatch.OwnerUsage{
		Owner: owner.ID(w.Owner), SlotTime: clock.Millis(w.SlotMs), Backlog: w.BacklogTasks, Started: w.StartedTasks,
		Refused: w.RefusedJobs, Waited: clock.Millis(w.WaitedMs), LongestWait: clock.Millis(w.LongestWaitMs),
	}
}
