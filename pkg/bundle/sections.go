package bundle

// Sections maps digests to the canonical bytes of sections.
type Sections map[Digest][]byte

// Missing returns the digests of the head's sections that s lacks.
func (s Sections) Missing(h Head) []Digest {
	var missing []Digest
	for _, d := range h.SectionDigests() {
		if _, ok := s[d]; !ok {
			missing = append(missing, d)
		}
	}
	return missing
}
