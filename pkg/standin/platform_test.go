package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against tests that pass only because the stand-in doesn't apply the faults they set.
func TestFaultsOverHTTP(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		// calls holds a verb and a name for each call; want holds the answers.
		calls []string
		want  []string
	}{
		{"none", `{}`, []string{"putObject a", "getObject a"}, []string{"done", "a"}},
		{"down", `{"objects":{"down":true}}`, []string{"putObject a", "listVMs"}, []string{noAnswer, ""}},
		{"call lost", `{"objects":{"dropNext":1}}`, []string{"putObject a", "getObject a"}, []string{noAnswer, absent}},
		{"answer lost", `{"objects":{"loseNext":1}}`, []string{"putObject a", "getObject a"}, []string{noAnswer, "a"}},
		{"reads do not use up lost answers", `{"objects":{"loseNext":1}}`, []string{"getObject b", "putObject a"}, []string{absent, noAnswer}},
		{"after one call", `{"table":{"pass":1,"loseNext":1}}`, []string{"putRow a", "putRow b", "getRow b"}, []string{"done", noAnswer, "b"}},
		{"row that is there", `{}`, []string{"putRow a", "putRow a", "listRows"}, []string{"done", conflict, "a"}},
		{"table lags by one write", `{"table":{"lag":1}}`, []string{"putRow a", "getRow a", "putRow b", "listRows"}, []string{"done", absent, "done", "a"}},
		{"VM list lags by two writes", `{"vms":{"lag":2}}`, []string{"putVM a", "putVM b", "listVMs", "putVM c", "listVMs"}, []string{"done", "done", "", "done", "a"}},
		{"a lagging table leaves the VM list alone", `{"table":{"lag":1}}`, []string{"putVM a", "listVMs"}, []string{"done", "a"}},
		{"unknown service", `{"tables":{}}`, []string{"listVMs"}, []string{""}},
		{"unknown switch", `{"table":{"dwon":true}}`, []string{"listVMs"}, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(NewPlatform().Handler())
			defer server.Close()
			_, answer := exchange(t, http.MethodPut, server.URL+"/v1/faults", tt.faults)
			if got, want := strings.Contains(answer, "set faults"), strings.HasPrefix(tt.name, "unknown"); got != want {
				t.Errorf("set faults: got %q, want an error %t", answer, want)
			}
			for i, c := range tt.calls {
				if got := call(t, server.URL, c); got != tt.want[i] {
					t.Errorf("call %d, %s: got %q, want %q", i, c, got, tt.want[i])
				}
			}
		})
	}
}

// The answers of calls that return no body.
const (
	noAnswer = "lost"
	absent   = "absent"
	conflict = "conflict"
)

// call makes a platform call and returns a short form of its answer.
func call(t *testing.T, base, verbAndName string) string {
	t.Helper()
	verb, name, _ := strings.Cut(verbAndName, " ")
	var status int
	var body string
	switch verb {
	case "putObject":
		status, body = exchange(t, http.MethodPut, base+"/-/blob-put/"+name, name)
	case "getObject":
		status, body = exchange(t, http.MethodGet, base+"/-/blob-get/"+name, "")
	case "putRow":
		status, body = exchange(t, http.MethodPost, base+"/-/rows-tx", fmt.Sprintf(
			`{"precondition":[{"table":"t","key":%q,"row_version":0}],"puts":[{"table":"t","key":%q,"value":"YQ=="}]}`, name, name))
	case "getRow":
		status, body = exchange(t, http.MethodGet, base+"/-/rows-get?table=t&limit=1&from="+name, "")
		if status == http.StatusOK && keys(t, body) == "" {
			return absent
		}
	case "listRows":
		status, body = exchange(t, http.MethodGet, base+"/-/rows-get?table=t", "")
	case "putVM":
		status, body = exchange(t, http.MethodPut, base+"/v1/vms/"+name, `{"slots":8}`)
	case "listVMs":
		status, body = exchange(t, http.MethodGet, base+"/-/rows-get?table=servers", "")
	}
	switch {
	case status == 0:
		return noAnswer
	case status == http.StatusNotFound:
		return absent
	case status == http.StatusPreconditionFailed:
		return conflict
	case verb == "getRow", verb == "listRows", verb == "listVMs":
		return keys(t, body)
	case verb == "getObject":
		return body
	}
	return "done"
}

// keys returns the keys of the rows in an answer.
func keys(t *testing.T, body string) string {
	t.Helper()
	var page struct {
		Rows []struct{ Key string }
	}
	if err := json.Unmarshal([]byte(body), &page); err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, r := range page.Rows {
		all = append(all, r.Key)
	}
	return strings.Join(all, " ")
}

// exchange makes an HTTP call; status 0 means that no answer arrived.
func exchange(t *testing.T, method, url, body string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	// Use a new connection for each call: net/http retries a GET on a reused connection.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Guards against a delay that isn't applied, and against one that waits in real time under a
// manual clock.
func TestSlowAnswers(t *testing.T) {
	manual := clock.NewManual(0)
	injector := newFaultInjector(manual)
	injector.set(TableService, Faults{Delay: clock.Second})
	served := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	done := make(chan struct{})
	go func() {
		injector.apply(TableService, false, handler, httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
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
