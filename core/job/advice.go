package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Limits of a question for advice.
const (
	// maxAdvised bounds the workers of one question: its answer takes longer
	// with each, and the users' objectives allow for thirty.
	maxAdvised = 30

	// adviceRetry is the time before a question without an answer is asked
	// again: the service answers one at a time.
	adviceRetry = 300 * time.Millisecond

	// ticketShare is the part of a ticket's time in which it is still used, so
	// that a start arrives in time.
	ticketShare = 0.7
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
	text  string // empty if the worker may not run them
	until time.Time
}

// advice is what a stage knows of the workers that may run it.
type advice struct {
	asking  bool
	retry   time.Time
	tickets map[wire.WorkerRef]ticket
}

// advised reports whether the worker may be given a task of the stage now.
func (s *stage) advised(w *Worker, now time.Time) bool {
	if s.job.TicketValidity == 0 {
		return true
	}
	t := s.advice.tickets[w.ref()]
	return t.text != "" && now.Before(t.until)
}

// ticket returns the ticket for a worker, if there is one.
func (s *stage) ticket(w *Worker) string { return s.advice.tickets[w.ref()].text }

// forget drops a ticket that a worker has refused.
func (s *stage) forget(w *Worker) { delete(s.advice.tickets, w.ref()) }

// AdviceRequests returns what is to be asked now: for stages whose tasks wait and
// find too little room on workers that are known to be allowed.
func (e *Engine) AdviceRequests(now time.Time) []AdviceRequest {
	if !slices.ContainsFunc(e.list, func(j *Job) bool { return j.TicketValidity > 0 && !j.state.Final() }) {
		return nil
	}
	var questions []AdviceRequest
	for _, s := range e.queue(now) {
		if s.job.TicketValidity == 0 || s.advice.asking || now.Before(s.advice.retry) {
			continue
		}
		if workers := e.unknownWorkers(s, now); len(workers) > 0 {
			s.advice.asking = true
			questions = append(questions, AdviceRequest{
				Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step, Workers: workers, stage: s,
			})
		}
	}
	return questions
}

// unknownWorkers returns the instances to ask for, those with the most room
// first. Which workers may run a step does not change, so those that may not are
// asked for once in their lifetime.
func (e *Engine) unknownWorkers(s *stage, now time.Time) []string {
	var unknown []candidate
	for _, w := range e.order {
		t, asked := s.advice.tickets[w.ref()]
		if !e.suitable(w, s, now) || asked && (t.text == "" || now.Before(t.until)) {
			continue
		}
		if n := min(fits(e.free(w, s, now), demand(s.step)), e.spreadLeft(w, s)); n > 0 || s.job.Priority == 0 { // urgent work may make room
			unknown = append(unknown, candidate{w: w, room: n, near: s.step.DataRack == "" || s.step.DataRack == w.Rack})
		}
	}
	slices.SortStableFunc(unknown, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(btoi(a.near), btoi(b.near)), -cmp.Compare(a.room, b.room))
	})
	var instances []string
	for _, c := range unknown[:min(len(unknown), maxAdvised)] {
		instances = append(instances, c.w.Instance)
	}
	return instances
}

// RecordAdvice takes in the answer to a question that was sent at a time: tickets by
// instance. ok is false if there was no answer.
func (e *Engine) RecordAdvice(q AdviceRequest, tickets map[string]string, ok bool, sent, now time.Time) {
	s := q.stage
	s.advice.asking = false
	if !ok {
		s.advice.retry = now.Add(adviceRetry)
		return
	}
	if s.advice.tickets == nil {
		s.advice.tickets = make(map[wire.WorkerRef]ticket)
	}
	until := sent.Add(time.Duration(ticketShare * float64(s.job.TicketValidity)))
	for _, w := range e.order {
		if slices.Contains(q.Workers, w.Instance) {
			s.advice.tickets[w.ref()] = ticket{text: tickets[w.Instance], until: until}
		}
	}
}
