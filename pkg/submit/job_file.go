package submit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

const maxJobLineBytes = 16 << 20

// ReadJobs reads a job file with one JSON object per line, in the format of the body of
// PUT /v1/jobs/{id}. It skips empty lines.
func ReadJobs(r io.Reader) ([]Job, error) {
	var jobs []Job
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxJobLineBytes)
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var w wireJob
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&w); err != nil {
			return nil, errors.Annotatef(err, "read job file: line %d", line)
		}
		jobs = append(jobs, decodeJob(w))
	}
	return jobs, errors.Annotate(scanner.Err(), "read job file")
}
