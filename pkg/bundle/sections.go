package bundle

// Sections holds the canonical bytes of sections by their digests.
type Sections map[Digest][]byte

// Missing returns the digests of the head's sections that are not held.
func (s Sections) Missing(h Head) []Digest {
	var missing []Digest
	for _, d := range h.SectionDigests() {
		if _, ok := s[d]; !ok {
			missing = append(missing, d)
		}
	}
	return missing
}
