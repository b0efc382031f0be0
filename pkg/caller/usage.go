package caller

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

type wireUsage struct {
	Owners []wireOwnerUsage `json:"owners"`
}

type wireOwnerUsage struct {
	Owner         string `json:"owner"`
	SlotMs        int64  `json:"slotMs"`
	BacklogTasks  int    `json:"backlogTasks"`
	StartedTasks  int64  `json:"startedTasks"`
	RefusedJobs   int64  `json:"refusedJobs"`
	WaitedMs      int64  `json:"waitedMs"`
	LongestWaitMs int64  `json:"longestWaitMs"`
}

// usage shows every owner the figures of all owners at this VM.
func (s *Server) usage(c echo.Context) error {
	owners, err := s.config.Service.Usage(c.Request().Context())
	if err != nil {
		return writeProblem(c, http.StatusServiceUnavailable, problem{
			Type: typeRefused, Step: "read usage", Detail: err.Error(),
			Action: "try again, or at another entry VM", RetryAfterMs: int64(unavailableRetry),
		})
	}
	return c.JSON(http.StatusOK, encodeUsage(owners))
}

func encodeUsage(owners []dispatch.OwnerUsage) wireUsage {
	w := wireUsage{Owners: make([]wireOwnerUsage, len(owners))}
	for i, o := range owners {
		w.Owners[i] = wireOwnerUsage{
			Owner:         string(o.Owner),
			SlotMs:        int64(o.SlotTime),
			BacklogTasks:  o.Backlog,
			StartedTasks:  o.Started,
			RefusedJobs:   o.Refused,
			WaitedMs:      int64(o.Waited),
			LongestWaitMs: int64(o.LongestWait),
		}
	}
	return w
}
