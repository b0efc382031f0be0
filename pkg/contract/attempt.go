package contract

import "strconv"

// AttemptNumber counts the sends of one task, from 1.
type AttemptNumber int

// AttemptID names one send of a task to an endpoint. It goes out with the task and has
// to come back with the answer.
type AttemptID struct {
	Submission SubmissionID
	Task       TaskIndex
	Number     AttemptNumber
}

// String returns the form that goes over the wire.
func (a AttemptID) String() string {
	return a.Submission.String() + "/" + strconv.Itoa(int(a.Task)) + "/" + strconv.Itoa(int(a.Number))
}
