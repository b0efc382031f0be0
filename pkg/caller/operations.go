package caller

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/event"
)

const (
	answerKey = "answer"
	detailKey = "detail"
)

// countAnswers counts a request by the state or problem type of its answer.
func (s *Server) countAnswers(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		answer, ok := c.Get(answerKey).(string)
		if !ok {
			answer = "ok"
		}
		s.config.Metrics.RequestAnswered(answer)
		s.logRejected(c, answer)
		return err
	}
}

func (s *Server) logRejected(c echo.Context, answer string) {
	host, _, _ := net.SplitHostPort(c.Request().RemoteAddr)
	fields := logrus.Fields{"peer": host, "owner": ownerOf(c), "detail": c.Get(detailKey)}
	switch answer {
	case typeUnauthorized:
		s.config.Log.Warn(event.CallerUnauthorized, "caller not authorised", fields)
	case typeInvalid:
		s.config.Log.Warn(event.CallerBadInput, "caller's request refused as invalid", fields)
	}
}

// ready reports to load balancers whether this VM accepts new work.
func (s *Server) ready(c echo.Context) error {
	detail := ""
	switch {
	case s.config.Readiness.ShuttingDown():
		detail = "this VM is shutting down"
	case !s.config.Readiness.BundleInForce():
		detail = "this VM has no bundle in force"
	default:
		return c.NoContent(http.StatusOK)
	}
	return writeProblem(c, http.StatusServiceUnavailable, problem{
		Type: typeRefused, Step: "check readiness", Detail: detail, Action: "use another entry VM",
	})
}

func (s *Server) serveMetrics(c echo.Context) error {
	registry := s.config.Metrics.Registry()
	switch format := c.QueryParam("format"); format {
	case "", "json":
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
		c.Response().WriteHeader(http.StatusOK)
		gometrics.WriteJSONOnce(registry, c.Response())
	case "text":
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		c.Response().WriteHeader(http.StatusOK)
		gometrics.WriteOnce(registry, c.Response())
	default:
		return writeBadInput(c, "read metrics", badInput{detail: "format is " + format, action: "use format=json or format=text"})
	}
	return nil
}
