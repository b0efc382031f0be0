package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

const (
	dataPathEndpoints = 64
	dataPathSlots     = 8
	// dataPathIssuerSize makes the issuer the home of nearly all endpoints.
	dataPathIssuerSize = 10000
	// dataPathBlockSize is the number of direct calls, and of jobs, in one iteration.
	dataPathBlockSize = 50
	dataPathPayload   = `{"runMs":0}`
)

// BenchmarkDataPath compares jobs through an entry VM and a witness with direct calls of the
// endpoint in the same run, all over loopback in one process. An iteration is a block of direct
// calls and a block of jobs. Processor time and allocations are those of the whole process,
// including the caller and the endpoints; a direct call accounts for direct-cpu-us of them.
// The limit on stored answers (64 MiB) limits the number of jobs: use a fixed -benchtime.
func BenchmarkDataPath(b *testing.B) {
	for _, tasks := range []int{1, 8, 64, 370} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkDataPath(b, 1, tasks) })
	}
	for _, tasks := range []int{1, 8} {
		b.Run(fmt.Sprintf("callers=32/tasks=%d", tasks), func(b *testing.B) { benchmarkDataPath(b, 32, tasks) })
	}
}

func benchmarkDataPath(b *testing.B, callers, tasks int) {
	p := newDataPath(b, tasks)
	p.block(callers, p.direct)
	p.reserve()
	p.block(callers, p.job)
	var direct, jobs measurement
	for b.Loop() {
		direct.add(p.block(callers, p.direct))
		p.reserve()
		jobs.add(p.block(callers, p.job))
	}
	starts := float64(len(jobs.durations) * tasks)
	b.ReportMetric(direct.percentile(50), "direct-p50-us")
	b.ReportMetric(direct.percentile(99), "direct-p99-us")
	b.ReportMetric(jobs.percentile(50), "job-p50-us")
	b.ReportMetric(jobs.percentile(99), "job-p99-us")
	b.ReportMetric(jobs.percentile(50)-direct.percentile(50), "added-p50-us")
	b.ReportMetric(micros(direct.processor)/float64(len(direct.durations)), "direct-cpu-us")
	b.ReportMetric(micros(jobs.processor)/starts, "cpu-us/start")
	b.ReportMetric(float64(jobs.allocations)/starts, "allocs/start")
	b.ReportMetric(starts/jobs.elapsed.Seconds(), "starts/s")
	b.ReportMetric(0, "ns/op")
}

// measurement holds the measurements of a block of calls.
type measurement struct {
	durations   []time.Duration
	elapsed     time.Duration
	processor   time.Duration
	allocations uint64
}

func (m *measurement) add(o measurement) {
	m.durations = append(m.durations, o.durations...)
	m.elapsed += o.elapsed
	m.processor += o.processor
	m.allocations += o.allocations
}

func (m *measurement) percentile(p int) float64 {
	slices.Sort(m.durations)
	return micros(m.durations[min(len(m.durations)-1, len(m.durations)*p/100)])
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// dataPath is an issuer, its witness, and endpoints that answer immediately.
type dataPath struct {
	b           *testing.B
	caller      *submit.Client
	http        *http.Client
	address     string
	jobTemplate submit.Job
	ids         []string
}

func newDataPath(b *testing.B, tasks int) *dataPath {
	platformStandin := standin.NewPlatform()
	server := httptest.NewServer(platformStandin.Handler())
	b.Cleanup(server.Close)
	p := &dataPath{b: b, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: dataPathBlockSize}}}
	for i := range dataPathEndpoints {
		e := httptest.NewServer(http.HandlerFunc(answerImmediately))
		b.Cleanup(e.Close)
		p.address = e.URL
		platformStandin.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{
			ID: datacentre.EndpointID(fmt.Sprint("e", i)), DataCentre: "centro", Address: hostPort(e), Slots: dataPathSlots, Connections: 64,
		}})
	}
	pin := publish(b, hostPort(server))
	// Daemons stop in reverse order: without its witness, the issuer could not drain.
	witness := startDaemonWith(b, testSettings("witness", hostPort(server), string(pin)))
	s := testSettings("issuer", hostPort(server), string(pin))
	s.Size = dataPathIssuerSize
	issuer := startDaemonWith(b, s)
	for !issuer.Ready() || !witness.Ready() {
		time.Sleep(pollInterval)
	}
	p.caller = submit.NewClient(submit.ClientConfig{Addresses: []string{issuer.CallerAddress()}, Token: testToken, Wait: 10 * clock.Second})
	for range tasks {
		p.jobTemplate.Payloads = append(p.jobTemplate.Payloads, dataPathPayload)
	}
	p.jobTemplate.Class = "urgent"
	p.waitForWitness()
	return p
}

// waitForWitness waits until new ids name the witness and a job completes.
func (p *dataPath) waitForWitness() {
	for p.reserve(); !strings.Contains(p.ids[0], ".witness-"); p.reserve() {
		time.Sleep(pollInterval)
	}
	for {
		p.reserve()
		if reply, err := p.caller.Submit(context.Background(), 0, p.ids[0], p.jobTemplate); err == nil {
			if _, ok := reply.(submit.Completed); ok {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// reserve reserves the ids of a block in advance, as callers with many jobs do.
func (p *dataPath) reserve() {
	ids, err := p.caller.Reserve(context.Background(), 0, dataPathBlockSize)
	if err != nil {
		p.b.Fatal(err)
	}
	p.ids = ids
}

func (p *dataPath) job(i int) {
	reply, err := p.caller.Submit(context.Background(), 0, p.ids[i], p.jobTemplate)
	if _, ok := reply.(submit.Completed); !ok {
		p.b.Errorf("job %d: got %#v (%v), want completed; a refusal may need a shorter -benchtime", i, reply, err)
	}
}

func (p *dataPath) direct(int) {
	response, err := p.http.Post(p.address+"/run", "application/octet-stream", strings.NewReader(dataPathPayload))
	if err != nil {
		p.b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

func answerImmediately(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(endpoint.AttemptHeader, r.Header.Get(endpoint.AttemptHeader))
	_, _ = w.Write(body)
}

// block measures one block of calls, made by several concurrent callers.
func (p *dataPath) block(callers int, call func(i int)) measurement {
	m := measurement{durations: make([]time.Duration, dataPathBlockSize)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	processor, start := processorTime(p.b), time.Now()
	next := make(chan int, dataPathBlockSize)
	for i := range dataPathBlockSize {
		next <- i
	}
	close(next)
	var g sync.WaitGroup
	for range callers {
		g.Go(func() {
			for i := range next {
				callStart := time.Now()
				call(i)
				m.durations[i] = time.Since(callStart)
			}
		})
	}
	g.Wait()
	m.elapsed, m.processor = time.Since(start), processorTime(p.b)-processor
	runtime.ReadMemStats(&after)
	m.allocations = after.Mallocs - before.Mallocs
	return m
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
