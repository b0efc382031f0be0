package bundle

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

type wireBundle struct {
	Version uint64      `toml:"version"`
	Owners  []wireOwner `toml:"owners"`
}

type wireOwner struct {
	ID      string      `toml:"id"`
	Share   int         `toml:"share"`
	Tokens  []string    `toml:"tokens"`
	Classes []wireClass `toml:"classes"`
	Limits  wireLimits  `toml:"limits"`
}

type wireClass struct {
	Name       string `toml:"name"`
	Rank       int    `toml:"rank"`
	DeadlineMs int64  `toml:"deadlineMs"`
}

type wireLimits struct {
	TasksPerJob int `toml:"tasksPerJob"`
	QueuedTasks int `toml:"queuedTasks"`
}

// Decode reads the TOML form of a bundle. Unknown keys are refused.
func Decode(body []byte) (*Bundle, error) {
	var w wireBundle
	decoder := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return nil, errors.Annotate(err, "decode bundle")
	}
	b := &Bundle{Version: Version(w.Version), Owners: make([]owner.Owner, len(w.Owners))}
	for i, o := range w.Owners {
		b.Owners[i] = decodeOwner(o)
	}
	return b, nil
}

func decodeOwner(w wireOwner) owner.Owner {
	o := owner.Owner{
		ID:     owner.ID(w.ID),
		Share:  owner.Share(w.Share),
		Limits: owner.Limits{TasksPerJob: w.Limits.TasksPerJob, QueuedTasks: w.Limits.QueuedTasks},
	}
	for _, c := range w.Classes {
		o.Classes = append(o.Classes, owner.Class{Name: owner.ClassName(c.Name), Rank: owner.Rank(c.Rank), Deadline: clock.Millis(c.DeadlineMs)})
	}
	for _, t := range w.Tokens {
		o.Tokens = append(o.Tokens, owner.TokenDigest(t))
	}
	return o
}
