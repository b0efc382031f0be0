package contract

import (
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Sequence numbers the ids of one issuer.
type Sequence uint64

// MAC is the message authentication code of an id. It proves that the issuer reserved the
// id for an owner.
type MAC [16]byte

// SubmissionID identifies a submission, the only VM that may start its tasks (the issuer)
// and the VM that holds copies of the issuer's records (the witness).
type SubmissionID struct {
	DataCentre datacentre.ID
	Issuer     vm.Incarnation
	Witness    vm.Incarnation
	IssuedAt   clock.Millis
	Sequence   Sequence
	MAC        MAC
}

const (
	idFields = 6
	idBase   = 36
)

var dataCentreFormat = regexp.MustCompile(`^[a-z0-9]+$`)

// String returns the text form
// "<dataCentre>.<issuer>.<witness>.<issuedAt>.<sequence>.<mac>".
func (s SubmissionID) String() string {
	text := append(s.appendPrefix(make([]byte, 0, 128)), '.')
	return string(hex.AppendEncode(text, s.MAC[:]))
}

// appendPrefix appends all fields except the MAC.
func (s SubmissionID) appendPrefix(text []byte) []byte {
	text = append(append(text, s.DataCentre...), '.')
	text = append(append(text, s.Issuer...), '.')
	text = append(append(text, s.Witness...), '.')
	text = append(strconv.AppendInt(text, int64(s.IssuedAt), idBase), '.')
	return strconv.AppendUint(text, uint64(s.Sequence), idBase)
}

// ParseSubmissionID parses the text form and accepts only the spelling that String returns.
func ParseSubmissionID(text string) (SubmissionID, error) {
	fields := strings.Split(text, ".")
	if len(fields) != idFields {
		return SubmissionID{}, errors.NotValidf("parse submission id: %d fields instead of %d; use an id from POST /v1/ids: id", len(fields), idFields)
	}
	id := SubmissionID{
		DataCentre: datacentre.ID(fields[0]),
		Issuer:     vm.Incarnation(fields[1]),
		Witness:    vm.Incarnation(fields[2]),
	}
	if !dataCentreFormat.MatchString(fields[0]) || !id.Issuer.Valid() || !validWitness(id.Witness) {
		return SubmissionID{}, errors.NotValidf("parse submission id: malformed data centre, issuer or witness; use an id from POST /v1/ids: id")
	}
	issuedAt, err := strconv.ParseInt(fields[3], idBase, 64)
	if err != nil || issuedAt < 0 {
		return SubmissionID{}, errors.NotValidf("parse submission id: malformed time of issue; use an id from POST /v1/ids: id")
	}
	sequence, err := strconv.ParseUint(fields[4], idBase, 64)
	if err != nil {
		return SubmissionID{}, errors.NotValidf("parse submission id: malformed sequence number; use an id from POST /v1/ids: id")
	}
	mac, err := hex.DecodeString(fields[5])
	if err != nil || len(mac) != len(id.MAC) {
		return SubmissionID{}, errors.NotValidf("parse submission id: malformed authentication code; use an id from POST /v1/ids: id")
	}
	id.IssuedAt, id.Sequence = clock.Millis(issuedAt), Sequence(sequence)
	copy(id.MAC[:], mac)
	if id.String() != text {
		return SubmissionID{}, errors.NotValidf("parse submission id: not in canonical form; use an id from POST /v1/ids: id")
	}
	return id, nil
}

func validWitness(i vm.Incarnation) bool {
	return i == vm.None || i.Valid()
}
