package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against tests that pass because the stand-in does not fail as they ask.
func TestFaultsOverHTTP(t *testing.T) {
	const lost = "lost"
	tests := []struct {
		name   string
		faults string
		// calls are a method and a path each; want are their answers.
		calls []string
		want  []string
	}{
		{"none", `{}`, []string{"PUT /v1/objects/a", "GET /v1/objects/a"}, []string{"", "a"}},
		{"down", `{"objects":{"down":true}}`, []string{"PUT /v1/objects/a", "GET /v1/vms"}, []string{lost, "[]\n"}},
		{"call lost", `{"objects":{"dropNext":1}}`, []string{"PUT /v1/objects/a", "GET /v1/objects/a"}, []string{lost, "404 page not found\n"}},
		{"answer lost", `{"objects":{"loseNext":1}}`, []string{"PUT /v1/objects/a", "GET /v1/objects/a"}, []string{lost, "a"}},
		{"reads do not use up lost answers", `{"objects":{"loseNext":1}}`, []string{"GET /v1/objects/b", "PUT /v1/objects/a"}, []string{"404 page not found\n", lost}},
		{"after one call", `{"table":{"pass":1,"loseNext":1}}`, []string{"PUT /v1/table/a?expected=0", "PUT /v1/table/b?expected=0", "GET /v1/table/b"}, []string{"1", lost, `{"key":"b","revision":2,"value":"YQ=="}` + "\n"}},
		{"table lags by one write", `{"table":{"lag":1}}`, []string{"PUT /v1/table/a?expected=0", "GET /v1/table/a", "PUT /v1/table/b?expected=0", "GET /v1/table?prefix="}, []string{"1", "404 page not found\n", "2", `[{"key":"a","revision":1,"value":"YQ=="}]` + "\n"}},
		{"VM list lags by two writes", `{"vms":{"lag":2}}`, []string{"PUT /v1/vms/a", "PUT /v1/vms/b", "GET /v1/vms"}, []string{"", "", "[]\n"}},
		{"VM list of one data centre", `{}`, []string{"PUT /v1/vms/a", "GET /v1/vms?dataCentre=elsewhere"}, []string{"", "[]\n"}},
		{"unknown service", `{"tables":{}}`, []string{"GET /v1/vms"}, []string{"[]\n"}},
		{"unknown switch", `{"table":{"dwon":true}}`, []string{"GET /v1/vms"}, []string{"[]\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(NewPlatform().Handler())
			defer server.Close()
			answer := call(t, server.URL, "PUT /v1/faults", tt.faults)
			if got, want := strings.Contains(answer, "set faults"), strings.HasPrefix(tt.name, "unknown"); got != want {
				t.Errorf("set faults: got %q, want an error %t", answer, want)
			}
			for i, c := range tt.calls {
				body := "a"
				if strings.Contains(c, "/v1/vms/") {
					body = fmt.Sprintf(`{"endpoint":%q}`, c)
				}
				if got := call(t, server.URL, c, body); got != tt.want[i] {
					t.Errorf("%s: got %q, want %q", c, got, tt.want[i])
				}
			}
		})
	}
}

func call(t *testing.T, base, methodAndPath, body string) string {
	t.Helper()
	method, path, _ := strings.Cut(methodAndPath, " ")
	request, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	// A new connection for each call, since net/http repeats a GET on an old one.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "lost"
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return "lost"
	}
	return string(answer)
}

// Guards against a slow platform that answers at once, and against one that waits in
// real time under a manual clock.
func TestSlowAnswers(t *testing.T) {
	manual := clock.NewManual(0)
	s := newFaultSwitches(manual)
	s.set(TableService, Faults{Slow: clock.Second})
	served := make(chan struct{}, 1)
	handler := s.wrap(TableService, func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	done := make(chan struct{})
	go func() {
		handler(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		close(done)
	}()
	for {
		select {
		case <-done:
			if manual.Now() == 0 {
				t.Error("got an answer before the clock moved, want it a second later")
			}
			return
		default:
			manual.Advance(100)
		}
	}
}
