package app

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a command that omits figures or sign-offs from the service's answer.
func TestUsageCommand(t *testing.T) {
	const used = `{"owner":"ads","slotMs":10,"backlogTasks":1,"startedTasks":2,"refusedJobs":3,"waitedMs":4,"longestWaitMs":5}`
	const body = `{"owners":[{"owner":"ads","share":3,"usage":` + used + `}],"dataCentres":[{"dataCentre":"norte","ageMs":7,"usage":[` + used + `]}],"vms":[{"vm":"a-1","ageMs":6,"usage":[` + used + `]}],` +
		`"versionInForce":8,"signOffs":[{"version":8,"month":"2026-12","signer":"alerts","digest":"d8"},{"version":7,"month":"2026-11","signer":"ads","digest":"d7"}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	if got := strings.TrimSpace(runMain(t, "usage", "--address", address, "--output", "json")); got != body {
		t.Errorf("got %s, want %s", got, body)
	}
	text := strings.Join(strings.Fields(runMain(t, "usage", "--address", address)), " ")
	for _, want := range []string{"ads 3 10 1 2 3 2 5", "norte 7 2", "a-1 6", "8 in force 2026-12 alerts d8", "7 2026-11 ads d7"} {
		if !strings.Contains(text, want) {
			t.Errorf("got %s, want it to contain %q", text, want)
		}
	}
}
