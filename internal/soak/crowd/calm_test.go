package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against bounds that refuse a caller inside the limits, however much it asks for, while the VM has nothing else
// to do.
func TestSingleRequestsAreServed(t *testing.T) {
	const mostAtEndpoint = 2048
	const payload = `{"runMs":1,"milliCores":1}`
	padded := stepsOf(1, `{"count":1,"cpu":1,"estimate_ms":1}`)
	// All tasks find an endpoint at once, so that no forecast of their durations decides.
	vm := newDeployment(t, build(t), 1, mostTasks/mostAtEndpoint+1).vms[0]
	for i, tt := range []struct{ name, body string }{
		{"many tasks", stepsOf(1, fmt.Sprintf(`{"count":%d,"cpu":1,"estimate_ms":10}`, mostTasks))},
		{"many tasks without demands", stepsOf(1, fmt.Sprintf(`{"count":%d,"estimate_ms":10}`, mostTasks))},
		{"many steps", stepsOf(1, strings.TrimSuffix(strings.Repeat(`{"count":1,"cpu":1},`, mostTasks), ","))},
		{"many dependencies", stepsOf(1, fmt.Sprintf(`{"count":1,"cpu":1},{"count":1,"cpu":1,"after":[%s]}`, fill("0")))},
		{"the longest payload", fmt.Sprintf(`{"task_spec":%q,"best_effort":true,"steps":[{"count":1,"cpu":1,"estimate_ms":1}]}`, payload+strings.Repeat(" ", 4000-len(payload)))},
		{"the longest body", padded + strings.Repeat(" ", bodyBytes-len(padded))},
	} {
		conn, err := net.Dial("tcp", vm.callers)
		if err != nil {
			t.Fatal(err)
		}
		c := &client{conn: conn, id: i + 1}
		c.request(http.MethodPost, c.id, []byte(tt.body))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		switch {
		case err != nil:
			t.Errorf("%s: got %v, want an answer", tt.name, err)
		case response.StatusCode != http.StatusOK:
			text, _ := io.ReadAll(response.Body)
			t.Errorf("%s: got status %d and %s, want 200", tt.name, response.StatusCode, text)
		}
		_ = conn.Close()
	}
	vm.checkServes(t)
}
