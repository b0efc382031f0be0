package bundlestore

// OperatorName names the person or program that runs a bundle command.
type OperatorName string

// WriterToken identifies one write of one operator.
type WriterToken string
