package store

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type wireVM struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	MilliCores  int    `json:"milliCores"`
	Generation  int64  `json:"generation"`
}

type wireMember struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

type wireReplicaSet struct {
	Members []wireMember `json:"members"`
}

// EncodeVM returns the row of an entry VM.
func EncodeVM(v shard.VM) ([]byte, error) {
	return json.Marshal(wireVM{
		Incarnation: string(v.Incarnation), Address: v.Address,
		DataCentre: string(v.DataCentre), MilliCores: v.CPU, Generation: int64(v.Generation),
	})
}

const (
	// maxMilliCores bounds the processor share of an entry VM.
	maxMilliCores = 1 << 30
	// maxGeneration bounds the generation of an entry VM, so that there are always later ones.
	maxGeneration = 1 << 40
)

// DecodeVM reads the row of an entry VM.
func DecodeVM(r Row) (shard.VM, error) {
	var w wireVM
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return shard.VM{}, errors.Annotatef(err, "decode row of VM %s", r.Key)
	}
	if w.Incarnation == "" || w.Address == "" {
		return shard.VM{}, errors.NotValidf("decode row of VM %s: no incarnation or address: row", r.Key)
	}
	if w.MilliCores < 0 || w.MilliCores > maxMilliCores {
		return shard.VM{}, errors.NotValidf("decode row of VM %s: %d thousandths of a core: row", r.Key, w.MilliCores)
	}
	if w.Generation < 0 || w.Generation > maxGeneration {
		return shard.VM{}, errors.NotValidf("decode row of VM %s: generation %d: row", r.Key, w.Generation)
	}
	return shard.VM{
		Member:     shard.Member{Incarnation: vm.Incarnation(w.Incarnation), Address: w.Address},
		DataCentre: datacentre.ID(w.DataCentre), CPU: w.MilliCores, Generation: shard.Generation(w.Generation), Revision: int64(r.Revision),
	}, nil
}

// EncodeReplicaSet returns the row of a shard.
func EncodeReplicaSet(s shard.ReplicaSet) ([]byte, error) {
	w := wireReplicaSet{Members: make([]wireMember, len(s.Members))}
	for i, m := range s.Members {
		w.Members[i] = wireMember{Incarnation: string(m.Incarnation), Address: m.Address}
	}
	return json.Marshal(w)
}

// DecodeReplicaSet reads the row of a shard.
func DecodeReplicaSet(r Row) (shard.ReplicaSet, error) {
	var w wireReplicaSet
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return shard.ReplicaSet{}, errors.Annotatef(err, "decode replica set of shard %s", r.Key)
	}
	if len(w.Members) > shard.MaxMembers {
		return shard.ReplicaSet{}, errors.NotValidf("decode replica set of shard %s: %d members: row", r.Key, len(w.Members))
	}
	s := shard.ReplicaSet{Cell: shard.ID(r.Key), Revision: int64(r.Revision)}
	for _, m := range w.Members {
		if m.Incarnation == "" || m.Address == "" {
			return shard.ReplicaSet{}, errors.NotValidf("decode replica set of shard %s: member without incarnation or address: row", r.Key)
		}
		s.Members = append(s.Members, shard.Member{Incarnation: vm.Incarnation(m.Incarnation), Address: m.Address})
	}
	return s, nil
}

type wireMean struct {
	Log     float64 `json:"log"`
	Samples int     `json:"samples"`
}

type wireEstimates struct {
	Speeds map[string]wireMean `json:"speeds"`
	Works  map[string]wireMean `json:"works"`
}

// EncodeEstimates returns the row of a shard's performance estimates.
func EncodeEstimates(e estimate.Estimates) ([]byte, error) {
	w := wireEstimates{Speeds: make(map[string]wireMean, len(e.Speeds)), Works: make(map[string]wireMean, len(e.Works))}
	for id, m := range e.Speeds {
		w.Speeds[string(id)] = wireMean(m)
	}
	for n, m := range e.Works {
		w.Works[string(n)] = wireMean(m)
	}
	return json.Marshal(w)
}

const (
	// maxLog bounds the logarithm of a speed or of a duration in milliseconds. The exponentials of
	// larger ones overflow points in time.
	maxLog = 25
	// maxSamples bounds the samples of a mean.
	maxSamples = 1 << 30
)

// plausible reports whether a mean can be one that a leader has written.
func (m wireMean) plausible() bool {
	return math.Abs(m.Log) <= maxLog && m.Samples > 0 && m.Samples <= maxSamples
}

// DecodeEstimates reads the row of a shard's performance estimates, without implausible ones.
func DecodeEstimates(r Row) (estimate.Estimates, error) {
	var w wireEstimates
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return estimate.Estimates{}, errors.Annotatef(err, "decode performance estimates of shard %s", r.Key)
	}
	e := estimate.Estimates{Speeds: make(map[datacentre.EndpointID]estimate.Mean), Works: make(map[queue.Name]estimate.Mean)}
	for id, m := range w.Speeds {
		if m.plausible() {
			e.Speeds[datacentre.EndpointID(id)] = estimate.Mean(m)
		}
	}
	for n, m := range w.Works {
		if m.plausible() {
			e.Works[queue.Name(n)] = estimate.Mean(m)
		}
	}
	return e, nil
}

type wireCrash struct {
	Endpoint    string   `json:"endpoint"`
	Incarnation int64    `json:"incarnation"`
	Shard       string   `json:"shard"`
	Tasks       []string `json:"tasks"`
	Unconfirmed []string `json:"unconfirmed"`
	AgeMs       int64    `json:"ageMs"`
	Abrupt      bool     `json:"abrupt"`
	Proved      bool     `json:"proved"`
	Withdrawn   bool     `json:"withdrawn"`
	Withdrawals int      `json:"withdrawals"`
}

type wireCrashes struct {
	Crashes []wireCrash `json:"crashes"`
}

const (
	// maxRow is the largest row that the platform stores.
	maxRow = 65536
	// maxCrashTasks and maxCrashName bound the tasks of a crash and the names in it, and maxWithdrawals
	// how often an incarnation can have answered after it seemed to have ended.
	maxCrashTasks  = 64
	maxCrashName   = 200
	maxWithdrawals = 1000
)

// EncodeCrashes returns the row of the crashes that a shard's leader knows of, without the oldest if
// they exceed a row. Their ages are those of now: a reader counts from when it reads the row, since VMs
// share no clock.
func EncodeCrashes(all []crash.Record) ([]byte, error) {
	w := wireCrashes{Crashes: make([]wireCrash, len(all))}
	for i, r := range all {
		w.Crashes[i] = wireCrash{
			Endpoint: string(r.ID.Endpoint), Incarnation: int64(r.ID.Incarnation), Shard: string(r.Shard), Tasks: encodeTasks(r.Tasks), Unconfirmed: encodeTasks(r.Unconfirmed),
			AgeMs: int64(r.Age), Abrupt: r.Abrupt, Proved: r.Proved, Withdrawn: r.Withdrawn, Withdrawals: r.Withdrawals,
		}
	}
	for {
		text, err := json.Marshal(w)
		if err != nil || len(text) <= maxRow {
			return text, err
		}
		w.Crashes = w.Crashes[(len(w.Crashes)+3)/4:]
	}
}

func encodeTasks(names []job.TaskName) []string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = string(n)
	}
	return all
}

func decodeTasks(names []string) []job.TaskName {
	var all []job.TaskName
	for _, n := range names {
		all = append(all, job.TaskName(n))
	}
	return all
}

// plausible reports whether a record can be one that a leader has written.
func (c *wireCrash) plausible() bool {
	return isCrashName(c.Endpoint) && isCrashName(c.Shard) && c.Incarnation > 0 && c.AgeMs >= 0 && c.AgeMs <= int64(crash.Retention) &&
		c.Withdrawals >= 0 && c.Withdrawals <= maxWithdrawals && areCrashTasks(c.Tasks) && areCrashTasks(c.Unconfirmed)
}

func isCrashName(s string) bool { return s != "" && len(s) <= maxCrashName }

func areCrashTasks(names []string) bool {
	return len(names) <= maxCrashTasks && !slices.ContainsFunc(names, func(n string) bool { return !isCrashName(n) })
}

// DecodeCrashes reads the row of a shard's crashes. The error names implausible ones, and the others
// are returned with it.
func DecodeCrashes(r Row) ([]crash.Record, error) {
	var w wireCrashes
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return nil, errors.Annotatef(err, "decode crashes of shard %s", r.Key)
	}
	var all []crash.Record
	for _, c := range w.Crashes {
		if c.plausible() {
			all = append(all, crash.Record{
				ID:    crash.ID{Endpoint: datacentre.EndpointID(c.Endpoint), Incarnation: endpoint.Incarnation(c.Incarnation)},
				Shard: shard.ID(c.Shard), Tasks: decodeTasks(c.Tasks), Unconfirmed: decodeTasks(c.Unconfirmed), Age: clock.Millis(c.AgeMs),
				Abrupt: c.Abrupt, Proved: c.Proved, Withdrawn: c.Withdrawn, Withdrawals: c.Withdrawals,
			})
		}
	}
	if odd := len(w.Crashes) - len(all); odd > 0 {
		return all, errors.NotValidf("decode crashes of shard %s: %d of %d records", r.Key, odd, len(w.Crashes))
	}
	return all, nil
}

type wireCancellations struct {
	Cancelled []wireCancellation `json:"cancelled"`
}

type wireCancellation struct {
	Job    string `json:"job"`
	Origin string `json:"origin"`
}

// maxStoredCancellations bounds the cancellations in a row; VMs write fewer.
const maxStoredCancellations = 1000

// EncodeCancellations returns a row of cancellations.
func EncodeCancellations(all []job.Cancellation) ([]byte, error) {
	var w wireCancellations
	for _, c := range all {
		w.Cancelled = append(w.Cancelled, wireCancellation{Job: string(c.Job), Origin: string(c.Origin)})
	}
	return json.Marshal(w)
}

// DecodeCancellations reads a row of cancellations. The error names implausible ones, and the others are returned
// with it.
func DecodeCancellations(r Row) ([]job.Cancellation, error) {
	var w wireCancellations
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return nil, errors.Annotatef(err, "decode cancellations %s", r.Key)
	}
	var all []job.Cancellation
	odd := max(len(w.Cancelled)-maxStoredCancellations, 0)
	for _, c := range w.Cancelled[odd:] {
		cancelled := job.Cancellation{Job: job.ID(c.Job), Origin: job.Origin(c.Origin)}
		if cancelled.Validate() != nil {
			odd++
			continue
		}
		all = append(all, cancelled)
	}
	if odd > 0 {
		return all, errors.NotValidf("decode cancellations %s: %d of %d cancellations", r.Key, odd, len(w.Cancelled))
	}
	return all, nil
}
