package caller

import "github.com/juju/errors"

// errBodiesFull means that a body does not fit into the limit for all bodies that are being
// read.
const errBodiesFull = errors.ConstError("this VM has reached its limit for request bodies that are being read")

// badInput is an error in a request, and how the caller can correct it.
type badInput struct {
	detail   string
	action   string
	tooLarge bool
}

// Error implements error.
func (b badInput) Error() string { return b.detail + "; " + b.action }
