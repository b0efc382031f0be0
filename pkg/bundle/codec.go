package bundle

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// The canonical bytes of sections and heads are JSON as encoding/json writes it, with a fixed
// order of fields, sorted map keys and no white space. The TOML tags are for the file that
// operators edit.

type wireGovernance struct {
	Calendar map[string]string `json:"calendar" toml:"calendar"`
	Keys     map[string]string `json:"keys" toml:"keys"`
}

type wireOwner struct {
	ID      string      `json:"id" toml:"id"`
	Share   int         `json:"share" toml:"share"`
	Tokens  []string    `json:"tokens" toml:"tokens"`
	Classes []wireClass `json:"classes" toml:"classes"`
	Limits  wireLimits  `json:"limits" toml:"limits"`
}

type wireClass struct {
	Name       string `json:"name" toml:"name"`
	Rank       int    `json:"rank" toml:"rank"`
	DeadlineMs int64  `json:"deadlineMs" toml:"deadlineMs"`
}

type wireLimits struct {
	TasksPerJob int `json:"tasksPerJob" toml:"tasksPerJob"`
	QueuedTasks int `json:"queuedTasks" toml:"queuedTasks"`
}

type wireSignOff struct {
	Month     string `json:"month,omitempty"`
	Signer    string `json:"signer,omitempty"`
	Signature string `json:"signature,omitempty"`
}

type wireGovernanceLink struct {
	Version uint64      `json:"version"`
	Section string      `json:"section"`
	SignOff wireSignOff `json:"signOff"`
}

type wireOwnerSection struct {
	Owner   string `json:"owner"`
	Section string `json:"section"`
}

type wireHead struct {
	Version      uint64               `json:"version"`
	Parent       uint64               `json:"parent"`
	ParentDigest string               `json:"parentDigest"`
	Governance   []wireGovernanceLink `json:"governance"`
	Owners       []wireOwnerSection   `json:"owners"`
	SignOff      wireSignOff          `json:"signOff"`
}

// EncodeGovernance returns the canonical bytes of a governance section.
func EncodeGovernance(g Governance) []byte {
	w := wireGovernance{Calendar: make(map[string]string), Keys: make(map[string]string)}
	for m, o := range g.Calendar {
		w.Calendar[string(m)] = string(o)
	}
	for o, k := range g.Keys {
		w.Keys[string(o)] = string(k)
	}
	return encodeJSON(w)
}

// DecodeGovernance decodes the canonical bytes of a governance section.
func DecodeGovernance(body []byte) (Governance, error) {
	var w wireGovernance
	if err := decodeJSON(body, &w); err != nil {
		return Governance{}, errors.Annotate(err, "decode governance section")
	}
	return decodeGovernance(w), nil
}

// EncodeOwner returns the canonical bytes of an owner's section.
func EncodeOwner(o owner.Owner) []byte {
	return encodeJSON(encodeOwner(o))
}

// DecodeOwner decodes the canonical bytes of an owner's section.
func DecodeOwner(body []byte) (owner.Owner, error) {
	var w wireOwner
	if err := decodeJSON(body, &w); err != nil {
		return owner.Owner{}, errors.Annotate(err, "decode owner section")
	}
	return decodeOwner(w), nil
}

// EncodeHead returns the canonical bytes of a head.
func EncodeHead(h Head) []byte {
	w := wireHead{
		Version:      uint64(h.Version),
		Parent:       uint64(h.Parent),
		ParentDigest: string(h.ParentDigest),
		Governance:   make([]wireGovernanceLink, len(h.Governance)),
		Owners:       make([]wireOwnerSection, len(h.Owners)),
		SignOff:      encodeSignOff(h.SignOff),
	}
	for i, l := range h.Governance {
		w.Governance[i] = wireGovernanceLink{Version: uint64(l.Version), Section: string(l.Section), SignOff: encodeSignOff(l.SignOff)}
	}
	for i, o := range h.Owners {
		w.Owners[i] = wireOwnerSection{Owner: string(o.Owner), Section: string(o.Section)}
	}
	return encodeJSON(w)
}

// DecodeHead decodes the canonical bytes of a head.
func DecodeHead(body []byte) (Head, error) {
	var w wireHead
	if err := decodeJSON(body, &w); err != nil {
		return Head{}, errors.Annotate(err, "decode bundle head")
	}
	h := Head{
		Version:      Version(w.Version),
		Parent:       Version(w.Parent),
		ParentDigest: Digest(w.ParentDigest),
		Governance:   make([]GovernanceLink, len(w.Governance)),
		Owners:       make([]OwnerSection, len(w.Owners)),
		SignOff:      decodeSignOff(w.SignOff),
	}
	for i, l := range w.Governance {
		h.Governance[i] = GovernanceLink{Version: Version(l.Version), Section: Digest(l.Section), SignOff: decodeSignOff(l.SignOff)}
	}
	for i, o := range w.Owners {
		h.Owners[i] = OwnerSection{Owner: owner.ID(o.Owner), Section: Digest(o.Section)}
	}
	return h, nil
}

func encodeSignOff(s SignOff) wireSignOff {
	return wireSignOff{Month: string(s.Month), Signer: string(s.Signer), Signature: string(s.Signature)}
}

func decodeSignOff(w wireSignOff) SignOff {
	return SignOff{Month: Month(w.Month), Signer: owner.ID(w.Signer), Signature: Signature(w.Signature)}
}

func decodeGovernance(w wireGovernance) Governance {
	g := Governance{Calendar: make(Calendar), Keys: make(map[owner.ID]PublicKey)}
	for m, o := range w.Calendar {
		g.Calendar[Month(m)] = owner.ID(o)
	}
	for o, k := range w.Keys {
		g.Keys[owner.ID(o)] = PublicKey(k)
	}
	return g
}

func encodeOwner(o owner.Owner) wireOwner {
	w := wireOwner{
		ID:      string(o.ID),
		Share:   int(o.Share),
		Tokens:  make([]string, len(o.Tokens)),
		Classes: make([]wireClass, len(o.Classes)),
		Limits:  wireLimits{TasksPerJob: o.Limits.TasksPerJob, QueuedTasks: o.Limits.QueuedTasks},
	}
	for i, t := range o.Tokens {
		w.Tokens[i] = string(t)
	}
	for i, c := range o.Classes {
		w.Classes[i] = wireClass{Name: string(c.Name), Rank: int(c.Rank), DeadlineMs: int64(c.Deadline)}
	}
	slices.Sort(w.Tokens)
	slices.SortFunc(w.Classes, func(a, b wireClass) int { return strings.Compare(a.Name, b.Name) })
	return w
}

func decodeOwner(w wireOwner) owner.Owner {
	o := owner.Owner{
		ID:     owner.ID(w.ID),
		Share:  owner.Share(w.Share),
		Limits: owner.Limits{TasksPerJob: w.Limits.TasksPerJob, QueuedTasks: w.Limits.QueuedTasks},
	}
	for _, c := range w.Classes {
		o.Classes = append(o.Classes, owner.Class{Name: owner.ClassName(c.Name), Rank: owner.Rank(c.Rank), Deadline: clock.Millis(c.DeadlineMs)})
	}
	for _, t := range w.Tokens {
		o.Tokens = append(o.Tokens, owner.TokenDigest(t))
	}
	return o
}

// encodeJSON cannot fail: the wire types hold only strings, numbers, lists and maps.
func encodeJSON(w any) []byte {
	body, _ := json.Marshal(w)
	return body
}

func decodeJSON(body []byte, w any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(w); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the JSON value")
	}
	return nil
}
