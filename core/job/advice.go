package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Limits of advice requests.
const (
	// maxWorkersPerRequest bounds the workers in one request. The answer takes
	// longer with each worker, and the users' objectives leave time for thirty.
	maxWorkersPerRequest = 30

	// adviceRetryDelay is the time before a request without an answer is
	// repeated, because the service answers one request at a time.
	adviceRetryDelay = 300 * time.Millisecond

	// ticketUsableShare is the share of a ticket's validity in which it is used
	// for new runs, so that the start reaches the worker before it expires.
	ticketUsableShare = 0.7
)

// AdviceRequest asks the advice service which workers may run a step. Pass the
// answer to RecordAdvice.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string // instances

	stage *stage
}

// ticket permits a worker to run the tasks of a stage.
type ticket struct {
	text        string // empty if the worker may not run them
	usableUntil time.Time
}

// advice holds the answers for a stage.
type advice struct {
	pending bool      // a request is waiting for its answer
	retryAt time.Time // no new request before this time
	tickets map[wire.WorkerRef]ticket
}

// hasTicket reports whether the stage has a usable ticket for the worker or needs
// none.
func (s *stage) hasTicket(w *Worker, now time.Time) bool {
	if s.job.TicketValidity == 0 {
		return true
	}
	t := s.advice.tickets[w.ref()]
	return t.text != "" && now.Before(t.usableUntil)
}

// ticket returns the ticket for a worker, or "".
func (s *stage) ticket(w *Worker) string { return s.advice.tickets[w.ref()].text }

// dropTicket removes a ticket that the worker has refused.
func (s *stage) dropTicket(w *Worker) { delete(s.advice.tickets, w.ref()) }

// AdviceRequests returns the requests to send now. They concern stages whose waiting
// tasks do not fit on the workers that are known to be permitted.
func (e *Engine) AdviceRequests(now time.Time) []AdviceRequest {
	if !slices.ContainsFunc(e.jobList, func(j *Job) bool { return j.TicketValidity > 0 && !j.state.Final() }) {
		return nil
	}
	var requests []AdviceRequest
	for _, s := range e.waitingStages(now) {
		if s.job.TicketValidity == 0 || s.advice.pending || now.Before(s.advice.retryAt) {
			continue
		}
		if workers := e.workersToAsk(s, now); len(workers) > 0 {
			s.advice.pending = true
			requests = append(requests, AdviceRequest{
				Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step, Workers: workers, stage: s,
			})
		}
	}
	return requests
}

// workersToAsk returns the worker instances to ask about, those near the data and
// with the most room first. The answer for a worker does not change, so one that
// may not run the step is asked about only once in its lifetime.
func (e *Engine) workersToAsk(s *stage, now time.Time) []string {
	var toAsk []candidate
	for _, w := range e.sortedWorkers {
		t, asked := s.advice.tickets[w.ref()]
		if !e.eligibleIgnoringAdvice(w, s, now) || asked && (t.text == "" || now.Before(t.usableUntil)) {
			continue
		}
		if n := min(fitCount(e.freeFor(w, s, now), demand(s.step)), e.maxPerWorkerLeft(w, s)); n > 0 || s.job.Priority == 0 { // urgent work may preempt runs
			toAsk = append(toAsk, candidate{w: w, taskCapacity: n, nearData: s.step.DataRack == "" || s.step.DataRack == w.Rack})
		}
	}
	slices.SortStableFunc(toAsk, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(btoi(a.nearData), btoi(b.nearData)), -cmp.Compare(a.taskCapacity, b.taskCapacity))
	})
	var instances []string
	for _, c := range toAsk[:min(len(toAsk), maxWorkersPerRequest)] {
		instances = append(instances, c.w.Instance)
	}
	return instances
}

// RecordAdvice records the answer to a request: tickets by worker instance. sent is
// when the request was sent, and ok is false if there was no answer.
func (e *Engine) RecordAdvice(req AdviceRequest, tickets map[string]string, ok bool, sent, now time.Time) {
	s := req.stage
	s.advice.pending = false
	if !ok {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	if s.advice.tickets == nil {
		s.advice.tickets = make(map[wire.WorkerRef]ticket)
	}
	until := sent.Add(time.Duration(ticketUsableShare * float64(s.job.TicketValidity)))
	for _, w := range e.sortedWorkers {
		if slices.Contains(req.Workers, w.Instance) {
			s.advice.tickets[w.ref()] = ticket{text: tickets[w.Instance], usableUntil: until}
		}
	}
}
