package bundle

// GovernanceLink is a governance section and the version that introduced it. The settings
// pin the first link of the chain; each later one is signed under the one before it.
type GovernanceLink struct {
	Version Version
	Section Digest
	SignOff SignOff
}
