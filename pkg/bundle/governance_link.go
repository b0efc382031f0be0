package bundle

// GovernanceLink is a governance section and the version that brought it. The first link
// of a chain is pinned by the settings; each later one is signed under the one before.
type GovernanceLink struct {
	Version Version
	Section Digest
	SignOff SignOff
}
