package bundle

// RememberedSignOffs bounds the versions of which a VM knows the sign-off.
const RememberedSignOffs = 32

// SignOffHistory holds the latest sign-offs, the highest version first. Two heads of one
// version stay side by side, so that a platform restored from an older state shows.
type SignOffHistory struct {
	signed []SignedVersion
}
