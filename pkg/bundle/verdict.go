package bundle

// Verdict is a holder's decision about a candidate: InForce or Rejected.
type Verdict interface{ isVerdict() }

// InForce means that the candidate is now in force.
type InForce struct{ Candidate Candidate }

// Cause is the rule that a head violates.
type Cause string

// Causes of a rejection.
const (
	Malformed       Cause = "malformed"
	Unsigned        Cause = "unsigned"
	WrongOwner      Cause = "wrong owner"
	WrongMonth      Cause = "wrong month"
	WrongSignature  Cause = "wrong signature"
	ChangedBytes    Cause = "changed bytes"
	MissingSection  Cause = "missing section"
	OldParent       Cause = "old parent"
	OtherGovernance Cause = "other governance"
	OldVersion      Cause = "old version"
	Replayed        Cause = "replayed"
	OtherBytes      Cause = "other bytes under the version in force"
)

// Rejected is the reason why a head does not come into force. It implements error, so that
// commands can print it.
type Rejected struct {
	Version Version
	Cause   Cause
	Reason  string
}

func (InForce) isVerdict()  {}
func (Rejected) isVerdict() {}

// Error implements error.
func (r Rejected) Error() string {
	return "bundle version " + r.Version.String() + " rejected: " + string(r.Cause) + ": " + r.Reason
}
