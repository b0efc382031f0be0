package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

var testID = contract.SubmissionID{DataCentre: "centro", Issuer: "a-1", Witness: "b-1", IssuedAt: 1, Sequence: 1}

// fakeService gives the same answer to all calls and records their arguments.
type fakeService struct {
	answer     contract.Answer
	calls      int
	submitted  contract.Submission
	usageError error
	wait       clock.Millis
}

func (f *fakeService) Reserve(_ context.Context, _ owner.ID, count int) ([]contract.SubmissionID, error) {
	f.calls++
	return make([]contract.SubmissionID, count), nil
}

func (f *fakeService) Submit(_ context.Context, s contract.Submission, wait clock.Millis) contract.Answer {
	f.calls++
	f.submitted, f.wait = s, wait
	return f.answer
}

func (f *fakeService) Ask(_ context.Context, _ contract.SubmissionID, _ owner.ID, wait clock.Millis) contract.Answer {
	f.calls++
	f.wait = wait
	return f.answer
}

func (f *fakeService) Cancel(context.Context, contract.SubmissionID, owner.ID) contract.Answer {
	f.calls++
	return f.answer
}

// fakeVM has one owner, whose token is "right".
type fakeVM struct{ noBundle, leaving bool }

func (f fakeVM) OwnerOf(token string) (owner.Owner, bool) {
	return owner.Owner{ID: "pantallas"}, token == "right" && !f.noBundle
}
func (f fakeVM) BundleInForce() bool { return !f.noBundle }
func (f fakeVM) ShuttingDown() bool  { return f.leaving }

var testLimits = Limits{BodyBytes: 2048, BodiesBytes: 4096, AnswerBytes: 16, TasksPerJob: 3, IDs: 5, Connections: 8, MaxWait: 500, MaxDeadline: 10000, IdleTimeout: clock.Minute}

func (f *fakeService) Usage(context.Context) (accounting.Report, error) {
	used := dispatch.OwnerUsage{Owner: "pantallas", SlotTime: 10, Charged: 12, Backlog: 1, Started: 2, Refused: 3, Waited: 4, LongestWait: 5}
	signed := []bundle.SignedVersion{{Ref: bundle.Ref{Version: 2, Digest: "d2"}, Month: "2026-12", Signer: "other"}}
	return accounting.Report{
		InForce: 2, SignOffs: signed,
		Owners:      []accounting.OwnerReport{{Owner: "pantallas", Share: 3, Usage: used}, {Owner: "other", Share: 1, Usage: dispatch.OwnerUsage{Owner: "other"}}},
		DataCentres: []accounting.DataCentreReport{{DataCentre: "centro", Age: 7, Usage: []dispatch.OwnerUsage{used}}},
		VMs:         []accounting.VMReport{{VM: "a-1", Age: 6, Usage: []dispatch.OwnerUsage{used}}},
	}, f.usageError
}

// Guards against an owner that sees only its own usage, and against usage that is shown
// without a valid token.
func TestUsageIsOpenToAllOwners(t *testing.T) {
	const used = `{"owner":"pantallas","slotMs":10,"backlogTasks":1,"startedTasks":2,"refusedJobs":3,"waitedMs":4,"longestWaitMs":5}`
	const want = `{"owners":[{"owner":"pantallas","share":3,"usage":` + used + `},` +
		`{"owner":"other","share":1,"usage":{"owner":"other","slotMs":0,"backlogTasks":0,"startedTasks":0,"refusedJobs":0,"waitedMs":0,"longestWaitMs":0}}],` +
		`"dataCentres":[{"dataCentre":"centro","ageMs":7,"usage":[` + used + `]}],` +
		`"vms":[{"vm":"a-1","ageMs":6,"usage":[` + used + `]}],` +
		`"versionInForce":2,"signOffs":[{"version":2,"month":"2026-12","signer":"other","digest":"d2"}]}`
	got := serve(fakeVM{}, &fakeService{}, call{"GET", "/v1/usage", "right", ""})
	if body := strings.TrimSpace(got.Body.String()); got.Code != http.StatusOK || body != want {
		t.Errorf("got %d with %s, want 200 with %s", got.Code, body, want)
	}
	for name, c := range map[string]struct {
		vm    fakeVM
		token string
		err   error
		want  int
	}{
		"wrong token": {fakeVM{}, "wrong", nil, 401},
		"no bundle":   {fakeVM{noBundle: true}, "right", nil, 503},
		"overloaded":  {fakeVM{}, "right", errors.New("mailbox is full"), 503},
	} {
		got := serve(c.vm, &fakeService{usageError: c.err}, call{"GET", "/v1/usage", c.token, ""})
		if got.Code != c.want || strings.Contains(got.Body.String(), `"owners"`) {
			t.Errorf("%s: got %d with %s, want %d without usage", name, got.Code, got.Body, c.want)
		}
	}
}

type call struct {
	method, path, token, body string
}

func serve(v fakeVM, f *fakeService, c call) *httptest.ResponseRecorder {
	s := NewServer(Config{Service: f, Authenticator: v, Readiness: v, Limits: testLimits, Metrics: metrics.New(gometrics.NewRegistry())})
	r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	w := httptest.NewRecorder()
	s.echo.ServeHTTP(w, r)
	return w
}

// Guards against invalid input that is accepted or changes something, and against an answer
// that lacks the step, the peer or the action.
func TestBadInputIsRefusedByNameAndChangesNothing(t *testing.T) {
	job, ids := "/v1/jobs/"+testID.String(), "/v1/ids"
	request := "/v1/requests/" + testID.String()
	oneTaskJob := `{"tasks":[{"payload":"p"}]}`
	cases := map[string]struct {
		call       call
		wantStatus int
		wantType   string
	}{
		"no token":                {call{"GET", job, "", ""}, 401, "unauthorized"},
		"wrong token":             {call{"GET", job, "wrong", ""}, 401, "unauthorized"},
		"wrong token, bad id":     {call{"GET", "/v1/jobs/x", "wrong", ""}, 401, "unauthorized"},
		"malformed id":            {call{"PUT", "/v1/jobs/x", "right", oneTaskJob}, 400, "invalid"},
		"id in capitals":          {call{"GET", "/v1/jobs/" + strings.ToUpper(testID.String()), "right", ""}, 400, "invalid"},
		"malformed JSON":          {call{"PUT", job, "right", `{"tasks":[`}, 400, "invalid"},
		"no body":                 {call{"PUT", job, "right", ""}, 400, "invalid"},
		"two bodies":              {call{"PUT", job, "right", oneTaskJob + oneTaskJob}, 400, "invalid"},
		"not UTF-8":               {call{"PUT", job, "right", "{\"tasks\":[{\"payload\":\"\xff\"}]}"}, 400, "invalid"},
		"unknown field":           {call{"PUT", job, "right", `{"taks":[]}`}, 400, "invalid"},
		"unknown task field":      {call{"PUT", job, "right", `{"tasks":[{"payload":"p","size":1}]}`}, 400, "invalid"},
		"repeatable job":          {call{"PUT", job, "right", `{"repeatable":true,"tasks":[{"payload":"p"}]}`}, 400, "invalid"},
		"wrong type":              {call{"PUT", job, "right", `{"tasks":"p"}`}, 400, "invalid"},
		"no tasks":                {call{"PUT", job, "right", `{"tasks":[]}`}, 400, "invalid"},
		"task without payload":    {call{"PUT", job, "right", `{"tasks":[{}]}`}, 400, "invalid"},
		"request without payload": {call{"PUT", request, "right", `{}`}, 400, "invalid"},
		"too many tasks":          {call{"PUT", job, "right", `{"tasks":[{"payload":""},{"payload":""},{"payload":""},{"payload":""}]}`}, 413, "invalid"},
		"body too large":          {call{"PUT", job, "right", `{"tasks":[{"payload":"` + strings.Repeat("x", 2048) + `"}]}`}, 413, "invalid"},
		"negative deadline":       {call{"PUT", job, "right", `{"deadlineMs":-1,"tasks":[{"payload":"p"}]}`}, 400, "invalid"},
		"deadline too far":        {call{"PUT", job, "right", `{"deadlineMs":10001,"tasks":[{"payload":"p"}]}`}, 400, "invalid"},
		"kind too long":           {call{"PUT", job, "right", `{"kind":"` + strings.Repeat("k", 65) + `","tasks":[{"payload":"p"}]}`}, 400, "invalid"},
		"class too long":          {call{"PUT", job, "right", `{"class":"` + strings.Repeat("k", 65) + `","tasks":[{"payload":"p"}]}`}, 400, "invalid"},
		"wait is no number":       {call{"GET", job + "?waitMs=soon", "right", ""}, 400, "invalid"},
		"negative wait":           {call{"GET", job + "?waitMs=-1", "right", ""}, 400, "invalid"},
		"no ids":                  {call{"POST", ids, "right", `{"count":0}`}, 400, "invalid"},
		"too many ids":            {call{"POST", ids, "right", `{"count":6}`}, 400, "invalid"},
		"ids with unknown field":  {call{"POST", ids, "right", `{"number":1}`}, 400, "invalid"},
		"unknown path":            {call{"GET", "/v2/jobs", "right", ""}, 404, "notFound"},
		"wrong method":            {call{"POST", job, "right", oneTaskJob}, 405, "invalid"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakeService{answer: contract.Running{}}
			got := serve(fakeVM{}, f, c.call)
			if got.Code != c.wantStatus {
				t.Errorf("got status %d, want %d", got.Code, c.wantStatus)
			}
			assertProblem(t, got, c.wantType)
			if f.calls != 0 {
				t.Errorf("got %d calls of the service, want 0", f.calls)
			}
		})
	}
}

func assertProblem(t *testing.T, got *httptest.ResponseRecorder, wantType string) {
	t.Helper()
	var p struct {
		Type, Step, Peer, Detail, Action string
		Status                           int
	}
	if err := json.Unmarshal(got.Body.Bytes(), &p); err != nil {
		t.Errorf("got body %q, want a problem", got.Body)
	}
	if p.Type != wantType || p.Status != got.Code {
		t.Errorf("got type %q and status %d, want %q and %d", p.Type, p.Status, wantType, got.Code)
	}
	if p.Step == "" || p.Peer == "" || p.Detail == "" || p.Action == "" {
		t.Errorf("got problem %s, want step, peer, detail and action", got.Body)
	}
	if got.Header().Get("Content-Type") != problemContentType {
		t.Errorf("got content type %q, want %q", got.Header().Get("Content-Type"), problemContentType)
	}
}

// Guards against an answer whose status or type does not match the contract: only a refusal
// may be reported as one, and an answer with a retry delay must have a Retry-After header.
func TestAnswersHaveTheirStatus(t *testing.T) {
	cases := map[string]struct {
		answer     contract.Answer
		wantStatus int
		wantType   string
		wantRetry  string
	}{
		"complete":        {contract.Complete{Results: [][]byte{[]byte("r")}}, 200, "", ""},
		"running":         {contract.Running{}, 202, "", ""},
		"failed":          {contract.Failed{Reason: "r", Tasks: []contract.TaskState{contract.MayHaveRun}}, 502, "failed", ""},
		"overload":        {contract.Refused{Cause: contract.RefusedOverload, Reason: "r", RetryAfter: 1500}, 429, "refused", "2"},
		"unavailable":     {contract.Refused{Cause: contract.RefusedUnavailable, Reason: "r", RetryAfter: 1}, 503, "refused", "1"},
		"unknown class":   {contract.Refused{Cause: contract.RefusedInvalid, Reason: "r"}, 422, "refused", ""},
		"cannot tell yet": {contract.CannotTellYet{Reason: "r", RetryAfter: 1000}, 504, "cannotTellYet", "1"},
		"conflict":        {contract.Conflict{}, 409, "conflict", ""},
		"expired":         {contract.Expired{}, 410, "expired", ""},
		"not found":       {contract.NotFound{}, 404, "notFound", ""},
		"no answer":       {nil, 504, "cannotTellYet", "1"},
		"too large":       {contract.Complete{Results: [][]byte{make([]byte, 17)}}, 500, "answerTooLarge", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := serve(fakeVM{}, &fakeService{answer: c.answer}, call{"GET", "/v1/jobs/" + testID.String(), "right", ""})
			if got.Code != c.wantStatus || got.Header().Get("Retry-After") != c.wantRetry {
				t.Errorf("got status %d, retry %q, want %d, %q", got.Code, got.Header().Get("Retry-After"), c.wantStatus, c.wantRetry)
			}
			if c.wantType != "" {
				assertProblem(t, got, c.wantType)
			}
		})
	}
}

// Guards against results and payloads that JSON encoding changes.
func TestBytesArriveUnchanged(t *testing.T) {
	cases := map[string]struct{ result, want string }{
		"text":   {"é<&>", `{"state":"complete","encoding":"text","results":["é\u003c\u0026\u003e"]}`},
		"empty":  {"", `{"state":"complete","encoding":"text","results":[""]}`},
		"binary": {"\xff\x00", `{"state":"complete","encoding":"base64","results":["/wA="]}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakeService{answer: contract.Complete{Results: [][]byte{[]byte(c.result)}}}
			got := serve(fakeVM{}, f, call{"PUT", "/v1/requests/" + testID.String() + "?waitMs=900", "right", `{"kind":"k","class":"c","deadlineMs":7,"payload":"` + "é" + `","repeatable":true}`})
			if body := strings.TrimSpace(got.Body.String()); body != c.want {
				t.Errorf("got %s, want %s", body, c.want)
			}
			s := f.submitted
			if s.Owner != "pantallas" || s.ID != testID || s.Kind != "k" || s.Class != "c" || s.Deadline != 7 || !s.Repeatable || string(s.Tasks[0].Payload) != "é" || f.wait != testLimits.MaxWait {
				t.Errorf("got %+v waiting %d, want all fields of the request and a wait of %d", s, f.wait, testLimits.MaxWait)
			}
		})
	}
}

// Guards against work that is sent to a VM without a bundle or during its shutdown, and
// against "not run" from a VM without a bundle: the id may be running at its issuer.
func TestReadiness(t *testing.T) {
	job := "/v1/jobs/" + testID.String()
	cases := map[string]struct {
		vm   fakeVM
		call call
		want int
	}{
		"healthy":                   {fakeVM{noBundle: true}, call{"GET", "/healthz", "", ""}, 200},
		"ready":                     {fakeVM{}, call{"GET", "/readyz", "", ""}, 200},
		"no bundle":                 {fakeVM{noBundle: true}, call{"GET", "/readyz", "", ""}, 503},
		"shutting down":             {fakeVM{leaving: true}, call{"GET", "/readyz", "", ""}, 503},
		"ids without a bundle":      {fakeVM{noBundle: true}, call{"POST", "/v1/ids", "right", `{"count":1}`}, 503},
		"job without a bundle":      {fakeVM{noBundle: true}, call{"PUT", job, "right", `{"tasks":[{"payload":"p"}]}`}, 504},
		"query without a bundle":    {fakeVM{noBundle: true}, call{"GET", job, "right", ""}, 504},
		"ids while shutting down":   {fakeVM{leaving: true}, call{"POST", "/v1/ids", "right", `{"count":1}`}, 503},
		"query while shutting down": {fakeVM{leaving: true}, call{"GET", job, "right", ""}, 202},
		"metrics as JSON":           {fakeVM{}, call{"GET", "/metrics", "", ""}, 200},
		"metrics as text":           {fakeVM{}, call{"GET", "/metrics?format=text", "", ""}, 200},
		"metrics in no such format": {fakeVM{}, call{"GET", "/metrics?format=xml", "", ""}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := serve(c.vm, &fakeService{answer: contract.Running{}}, c.call)
			body, _ := io.ReadAll(got.Body)
			if got.Code != c.want {
				t.Errorf("got status %d with %s, want %d", got.Code, body, c.want)
			}
			if got.Code == http.StatusGatewayTimeout && strings.Contains(string(body), "not run") {
				t.Errorf("got %s, want an answer without \"not run\"", body)
			}
		})
	}
}
