package measure

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	// localDelay is the one-way delay between processes in one data centre.
	localDelay micros = 200
	// The streams of random numbers for speeds and placement; arrivals use stream 1.
	speedStream, placementStream = 2, 3
)

// simulation runs one scenario with one policy.
type simulation struct {
	scenario  scenario
	queue     eventQueue
	endpoints []*endpoint
	capacity  float64
	jobs      []*job
	cluster   *cluster
	baseline  *baseline

	// started counts the starts of tasks, and lost the tasks that a black hole failed.
	started int
	lost    int
	// wasted counts tasks sent to an endpoint without a free slot and loan requests answered
	// without any slots.
	wasted int
	// waits holds the time from the arrival of the job to the start of the task, for jobs that
	// arrive within the window; longWaits holds that of jobs of long kinds.
	waits     []micros
	longWaits []micros
	// windowSlotTime is the owners' slot time within the window, and shareSlotTime the part of it
	// from sharesFrom on.
	windowSlotTime map[owner.ID]micros
	shareSlotTime  map[owner.ID]micros
}

func newSimulation(s scenario, p Policy) *simulation {
	m := &simulation{scenario: s, shareSlotTime: make(map[owner.ID]micros), windowSlotTime: make(map[owner.ID]micros)}
	for _, dc := range s.workload.DataCentres {
		for i := range dc.Endpoints {
			m.endpoints = append(m.endpoints, &endpoint{
				id:         datacentre.EndpointID(fmt.Sprintf("%s-%02d", dc.ID, i)),
				dataCentre: dc.ID,
				index:      len(m.endpoints),
			})
		}
	}
	assignSpeeds(m.endpoints, rand.New(rand.NewPCG(s.seed, speedStream)))
	m.endpoints[0].blackHole = s.blackHole
	m.capacity = capacity(m.endpoints)
	vms := s.workload.roster()
	m.jobs = newJobGenerator(s, len(vms), m.capacity).generate(s.phases)
	random := rand.New(rand.NewPCG(s.seed, placementStream))
	switch p.(type) {
	case Sequoiacart:
		m.cluster = newCluster(m, vms, random)
	case RandomFIFO:
		m.baseline = &baseline{simulation: m, vms: vms, random: random, choices: 1}
	case PowerOfTwoFIFO:
		m.baseline = &baseline{simulation: m, vms: vms, random: random, choices: 2}
	}
	return m
}

func (m *simulation) run() *simulation {
	for _, j := range m.jobs {
		m.queue.schedule(j.arrivedAt, jobArrives{job: j})
	}
	if m.cluster != nil {
		m.cluster.start()
	} else {
		m.baseline.start()
	}
	end := m.scenario.end()
	for {
		e, ok := m.queue.next(end)
		if !ok {
			return m
		}
		m.handle(e)
	}
}

func (m *simulation) handle(e event) {
	switch e := e.(type) {
	case jobArrives:
		if m.cluster != nil {
			m.cluster.submit(e.job)
		} else {
			m.baseline.submit(e.job)
		}
	case taskArrives:
		m.handleTaskArrival(e.task)
	case taskEnds:
		m.handleTaskEnd(e.task)
	case answerArrives:
		m.handleAnswer(e)
	case loadReported:
		m.baseline.recordLoads()
	default:
		m.cluster.handle(e)
	}
}

// delay returns the one-way delay between two data centres.
func (m *simulation) delay(from, to datacentre.ID) micros {
	if from == to {
		return localDelay
	}
	return localDelay + m.scenario.workload.LinkDelay
}

func (m *simulation) handleTaskArrival(t *task) {
	e := t.endpoint
	if e.running < int(slotsPerEndpoint) {
		m.startTask(t)
		return
	}
	if m.cluster != nil {
		m.wasted++
		m.sendAnswer(t, busy)
		return
	}
	e.queue = append(e.queue, t)
}

func (m *simulation) startTask(t *task) {
	e := t.endpoint
	e.running++
	t.startedAt, t.started = m.queue.now, true
	m.started++
	if m.inWindow(t.job.arrivedAt) {
		wait := t.startedAt - t.job.arrivedAt
		if t.job.long {
			m.longWaits = append(m.longWaits, wait)
		} else {
			m.waits = append(m.waits, wait)
		}
	}
	runTime := micros(float64(t.runTime) * e.slowdown)
	if e.blackHole {
		runTime, t.blackHole = blackHoleRunTime, true
	}
	m.queue.schedule(runTime, taskEnds{task: t})
}

func (m *simulation) handleTaskEnd(t *task) {
	e := t.endpoint
	e.running--
	m.recordSlotTime(t)
	if t.blackHole {
		m.lost++
		m.sendAnswer(t, failed)
	} else {
		m.sendAnswer(t, done)
	}
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		m.startTask(next)
	}
}

// recordSlotTime adds the part of a task's run that lies within the window to the slot time of the
// owner and the work of the job. Runs at a black hole don't count.
func (m *simulation) recordSlotTime(t *task) {
	from := max(t.startedAt, m.scenario.windowFrom)
	to := min(m.queue.now, m.scenario.windowTo)
	if to <= from || t.blackHole {
		return
	}
	duration := to - from
	m.windowSlotTime[t.job.owner] += duration
	m.shareSlotTime[t.job.owner] += max(to-max(from, m.scenario.sharesFrom), 0)
	t.job.workInWindow += micros(float64(duration) / t.endpoint.slowdown)
}

func (m *simulation) sendAnswer(t *task, result outcome) {
	delay := m.delay(t.endpoint.dataCentre, m.senderDataCentre(t))
	m.queue.schedule(delay, answerArrives{task: t, result: result})
}

func (m *simulation) senderDataCentre(t *task) datacentre.ID {
	if t.sender != nil {
		return t.sender.vm.DataCentre
	}
	return m.baseline.vms[t.job.vm].DataCentre
}

func (m *simulation) handleAnswer(e answerArrives) {
	j := e.task.job
	switch e.result {
	case done:
		j.unfinished--
	case failed:
		j.unfinished--
		j.failed = true
	case busy:
	}
	if j.unfinished == 0 {
		j.endedAt = m.queue.now
	}
	if m.cluster != nil {
		m.cluster.handleAnswer(e.task, e.result)
	}
}

func (m *simulation) inWindow(at micros) bool {
	return at >= m.scenario.windowFrom && at < m.scenario.windowTo
}
