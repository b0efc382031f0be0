package caller

import "github.com/juju/errors"

// errBodiesFull says that the bodies that are being read take up the whole budget.
const errBodiesFull = errors.ConstError("this VM is reading as many bodies as it has room for")

// badInput says what is wrong with a request and what to do about it.
type badInput struct {
	detail   string
	action   string
	tooLarge bool
}

// Error implements error.
func (b badInput) Error() string { return b.detail + "; " + b.action }
