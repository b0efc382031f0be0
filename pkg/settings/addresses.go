package settings

import "strings"

// Addresses is a comma-separated list of host:port.
type Addresses string

// List returns the addresses one by one.
func (a Addresses) List() []string {
	if a == "" {
		return nil
	}
	return strings.Split(string(a), ",")
}
