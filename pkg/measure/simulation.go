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
	drawSpeeds, drawPlacement = 2, 3
)

// simulation runs one scenario with one policy.
type simulation struct {
	scenario  scenario
	agenda    agenda
	endpoints []*endpoint
	capacity  float64
	jobs      []*job
	cluster   *cluster
	direct    *direct

	started   int
	lost      int
	wasted    int
	waits     []micros
	longWaits []micros
	// burstTime is the owners' slot time within the window, and slotTime the part of it from
	// sharesFrom on.
	burstTime map[owner.ID]micros
	slotTime  map[owner.ID]micros
}

func newSimulation(s scenario, p Policy) *simulation {
	m := &simulation{scenario: s, slotTime: make(map[owner.ID]micros), burstTime: make(map[owner.ID]micros)}
	for _, site := range s.workload.DataCentres {
		for i := range site.Endpoints {
			m.endpoints = append(m.endpoints, &endpoint{
				id:         datacentre.EndpointID(fmt.Sprintf("%s-%02d", site.ID, i)),
				dataCentre: site.ID,
				index:      len(m.endpoints),
			})
		}
	}
	assignSpeeds(m.endpoints, rand.New(rand.NewPCG(s.seed, drawSpeeds)))
	m.endpoints[0].black = s.blackHole
	m.capacity = capacity(m.endpoints)
	vms := s.workload.roster()
	m.jobs = newArrivals(s, len(vms), m.capacity).draw(s.phases)
	random := rand.New(rand.NewPCG(s.seed, drawPlacement))
	switch p.(type) {
	case Sequoiacart:
		m.cluster = newCluster(m, vms, random)
	case RandomFIFO:
		m.direct = &direct{simulation: m, vms: vms, random: random, choices: 1}
	case PowerOfTwoFIFO:
		m.direct = &direct{simulation: m, vms: vms, random: random, choices: 2}
	}
	return m
}

func (m *simulation) run() *simulation {
	for _, j := range m.jobs {
		m.agenda.after(j.arrived, jobArrives{job: j})
	}
	if m.cluster != nil {
		m.cluster.begin()
	} else {
		m.direct.begin()
	}
	end := m.scenario.end()
	for {
		e, ok := m.agenda.next(end)
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
			m.direct.submit(e.job)
		}
	case taskArrives:
		m.taskArrives(e.task)
	case taskEnds:
		m.taskEnds(e.task)
	case answerArrives:
		m.answerArrives(e)
	case loadReported:
		m.direct.report()
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

func (m *simulation) taskArrives(t *task) {
	e := t.endpoint
	if e.running < int(slotsPerEndpoint) {
		m.begin(t)
		return
	}
	if m.cluster != nil {
		m.wasted++
		m.answer(t, busy)
		return
	}
	e.waiting = append(e.waiting, t)
}

func (m *simulation) begin(t *task) {
	e := t.endpoint
	e.running++
	t.began, t.started = m.agenda.now, true
	m.started++
	if m.inWindow(t.job.arrived) {
		wait := t.began - t.job.arrived
		if t.job.long {
			m.longWaits = append(m.longWaits, wait)
		} else {
			m.waits = append(m.waits, wait)
		}
	}
	span := micros(float64(t.base) * e.slowness)
	if e.black {
		span, t.black = blackHoleSpan, true
	}
	m.agenda.after(span, taskEnds{task: t})
}

func (m *simulation) taskEnds(t *task) {
	e := t.endpoint
	e.running--
	m.account(t)
	if t.black {
		m.lost++
		m.answer(t, failed)
	} else {
		m.answer(t, done)
	}
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		m.begin(next)
	}
}

// account adds the part of a task's run that lies within the window to the figures.
func (m *simulation) account(t *task) {
	from := max(t.began, m.scenario.windowFrom)
	to := min(m.agenda.now, m.scenario.windowTo)
	if to <= from || t.black {
		return
	}
	held := to - from
	m.burstTime[t.job.owner] += held
	m.slotTime[t.job.owner] += max(to-max(from, m.scenario.sharesFrom), 0)
	t.job.workInWindow += micros(float64(held) / t.endpoint.slowness)
}

func (m *simulation) answer(t *task, result outcome) {
	back := m.delay(t.endpoint.dataCentre, m.homeOf(t))
	m.agenda.after(back, answerArrives{task: t, result: result})
}

func (m *simulation) homeOf(t *task) datacentre.ID {
	if t.sender != nil {
		return t.sender.vm.DataCentre
	}
	return m.direct.vms[t.job.vm].DataCentre
}

func (m *simulation) answerArrives(e answerArrives) {
	j := e.task.job
	switch e.result {
	case done:
		j.left--
	case failed:
		j.left--
		j.failed = true
	case busy:
	}
	if j.left == 0 {
		j.ended = m.agenda.now
	}
	if m.cluster != nil {
		m.cluster.answered(e.task, e.result)
	}
}

func (m *simulation) inWindow(at micros) bool {
	return at >= m.scenario.windowFrom && at < m.scenario.windowTo
}
