package caller

// badInput says what is wrong with a request and what to do about it.
type badInput struct {
	detail   string
	action   string
	tooLarge bool
}

// Error implements error.
func (b badInput) Error() string { return b.detail + "; " + b.action }
