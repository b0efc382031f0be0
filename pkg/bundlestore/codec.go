package bundlestore

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type wireHeadRow struct {
	Version  uint64 `json:"version"`
	Head     string `json:"head"`
	Operator string `json:"operator"`
	Token    string `json:"token"`
}

type wireCandidateRow struct {
	ID       string `json:"id"`
	Version  uint64 `json:"version"`
	Head     string `json:"head"`
	Operator string `json:"operator"`
	Token    string `json:"token"`
}

type wireReport struct {
	Incarnation string          `json:"incarnation"`
	DataCentre  string          `json:"dataCentre"`
	PeerAddress string          `json:"peerAddress"`
	Version     uint64          `json:"version"`
	Head        string          `json:"head"`
	Prepared    []wireReadiness `json:"prepared"`
}

type wireReadiness struct {
	Candidate string `json:"candidate"`
	Version   uint64 `json:"version"`
	Ready     bool   `json:"ready"`
	Reason    string `json:"reason,omitempty"`
}

func encodeHeadRow(h HeadRow) []byte {
	return encode(wireHeadRow{Version: uint64(h.Head.Version), Head: string(h.Head.Digest), Operator: string(h.Operator), Token: string(h.Token)})
}

func decodeHeadRow(body []byte) (HeadRow, error) {
	var w wireHeadRow
	if err := json.Unmarshal(body, &w); err != nil {
		return HeadRow{}, errors.Annotate(err, "decode bundle head row")
	}
	return HeadRow{
		Head:     bundle.Ref{Version: bundle.Version(w.Version), Digest: bundle.Digest(w.Head)},
		Operator: OperatorName(w.Operator),
		Token:    WriterToken(w.Token),
	}, nil
}

func encodeCandidateRow(c CandidateRow) []byte {
	return encode(wireCandidateRow{
		ID:       string(c.ID),
		Version:  uint64(c.Head.Version),
		Head:     string(c.Head.Digest),
		Operator: string(c.Operator),
		Token:    string(c.Token),
	})
}

func decodeCandidateRow(body []byte) (CandidateRow, error) {
	var w wireCandidateRow
	if err := json.Unmarshal(body, &w); err != nil {
		return CandidateRow{}, errors.Annotate(err, "decode bundle candidate")
	}
	return CandidateRow{
		ID:       bundle.Digest(w.ID),
		Head:     bundle.Ref{Version: bundle.Version(w.Version), Digest: bundle.Digest(w.Head)},
		Operator: OperatorName(w.Operator),
		Token:    WriterToken(w.Token),
	}, nil
}

func encodeReport(r Report) []byte {
	w := wireReport{
		Incarnation: string(r.VM.Incarnation),
		DataCentre:  string(r.VM.DataCentre),
		PeerAddress: r.VM.PeerAddress,
		Version:     uint64(r.Status.InForce.Version),
		Head:        string(r.Status.InForce.Digest),
	}
	for _, p := range r.Status.Prepared {
		w.Prepared = append(w.Prepared, wireReadiness{Candidate: string(p.Candidate), Version: uint64(p.Version), Ready: p.Ready, Reason: p.Reason})
	}
	return encode(w)
}

func decodeReport(body []byte) (Report, error) {
	var w wireReport
	if err := json.Unmarshal(body, &w); err != nil {
		return Report{}, errors.Annotate(err, "decode bundle report")
	}
	r := Report{
		VM:     vm.VM{Incarnation: vm.Incarnation(w.Incarnation), DataCentre: datacentre.ID(w.DataCentre), PeerAddress: w.PeerAddress},
		Status: bundle.Status{InForce: bundle.Ref{Version: bundle.Version(w.Version), Digest: bundle.Digest(w.Head)}},
	}
	for _, p := range w.Prepared {
		r.Status.Prepared = append(r.Status.Prepared, bundle.Readiness{
			Candidate: bundle.Digest(p.Candidate), Version: bundle.Version(p.Version), Ready: p.Ready, Reason: p.Reason,
		})
	}
	return r, nil
}

// encode cannot fail: the wire types hold only strings, numbers and lists.
func encode(w any) []byte {
	body, _ := json.Marshal(w)
	return body
}
