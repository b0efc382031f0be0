package settings

import "strings"

// Addresses is a list of host:port, separated by commas.
type Addresses string

// List returns the single addresses.
func (a Addresses) List() []string {
	if a == "" {
		return nil
	}
	return strings.Split(string(a), ",")
}
