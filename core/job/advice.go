package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Limits of a question for advice.
const (
	// maxWorkersPerRequest bounds the workers of one question: its answer takes longer
	// with each, and the users' objectives allow for thirty.
	maxWorkersPerRequest = 30

	// adviceRetryDelay is the time before a question without an answer is asked
	// again: the service answers one at a time.
	adviceRetryDelay = 300 * time.Millisecond

	// ticketUsableShare is the part of a ticket's time in which it is still used, so
	// that a start arrives in time.
	ticketUsableShare = 0.7
)

// AdviceRequest asks which workers may run a step. Its answer goes to Advised.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string // instances

	stage *stage
}

// ticket lets a worker run the tasks of a stage.
type ticket struct {
	text        string // empty if the worker may not run them
	usableUntil time.Time
}

// advice is what a stage knows of the workers that may run it.
type advice struct {
	pending bool
	retryAt time.Time
	tickets map[wire.WorkerRef]ticket
}

// hasTicket reports whether the worker may be given a task of the stage now.
func (s *stage) hasTicket(w *Worker, now time.Time) bool {
	if s.job.TicketValidity == 0 {
		return true
	}
	t := s.advice.tickets[w.ref()]
	return t.text != "" && now.Before(t.usableUntil)
}

// ticket returns the ticket for a worker, if there is one.
func (s *stage) ticket(w *Worker) string { return s.advice.tickets[w.ref()].text }

// dropTicket drops a ticket that a worker has refused.
func (s *stage) dropTicket(w *Worker) { delete(s.advice.tickets, w.ref()) }

// AdviceRequests returns what is to be asked now: for stages whose tasks wait and
// find too little room on workers that are known to be allowed.
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

// workersToAsk returns the instances to ask for, those with the most room
// first. Which workers may run a step does not change, so those that may not are
// asked for once in their lifetime.
func (e *Engine) workersToAsk(s *stage, now time.Time) []string {
	var toAsk []candidate
	for _, w := range e.sortedWorkers {
		t, asked := s.advice.tickets[w.ref()]
		if !e.eligibleIgnoringAdvice(w, s, now) || asked && (t.text == "" || now.Before(t.usableUntil)) {
			continue
		}
		if n := min(fits(e.freeFor(w, s, now), demand(s.step)), e.spreadLeft(w, s)); n > 0 || s.job.Priority == 0 { // urgent work may make room
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

// RecordAdvice takes in the answer to a question that was sent at a time: tickets by
// instance. ok is false if there was no answer.
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
