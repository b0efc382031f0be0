package contract

import "strconv"

// AttemptNumber numbers the attempts of one task, from 1.
type AttemptNumber int

// AttemptID identifies one attempt to run a task on an endpoint. It is sent with the task,
// and the endpoint must return it with the answer.
type AttemptID struct {
	Submission SubmissionID
	Task       TaskIndex
	Number     AttemptNumber
}

// String returns the form used on the wire.
func (a AttemptID) String() string {
	return a.Submission.String() + "/" + strconv.Itoa(int(a.Task)) + "/" + strconv.Itoa(int(a.Number))
}
