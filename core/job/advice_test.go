package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// answerRequests answers all requests with tickets for the allowed nodes.
func (f *testCluster) answerRequests(allowed ...string) []AdviceRequest {
	requests := f.e.AdviceRequests(f.now)
	for _, q := range requests {
		tickets := make(map[string]string)
		for _, name := range allowed {
			tickets["i-"+name] = "ticket-" + name
		}
		f.e.RecordAdvice(q, tickets, true, f.now, f.now)
	}
	return requests
}

func TestAdvice(t *testing.T) {
	submitWithTickets := func(f *testCluster, priority int, s wire.JobStep) {
		j := f.job("j", priority, s)
		j.TicketValidity = 4 * time.Second
		f.e.Submit(j, f.now)
		f.tick()
	}
	tests := map[string]func(is *is.I, f *testCluster){
		"nothing runs without a ticket": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(1, 1))
			is.Equal(len(f.runs("j")), 0)
		},
		"only allowed workers run it": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(2, 1))
			is.Equal(len(f.answerRequests(node(1))), 1)
			f.tick()
			is.Equal(len(f.runs("j")), 2)
			for _, r := range f.runs("j") {
				is.Equal(r.worker.Node, node(1))
			}
			o, _ := f.e.Orders(node(1))
			is.Equal(o.Starts[0].Ticket, "ticket-"+node(1))
		},
		"a request is sent once": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(1, 1))
			is.Equal(len(f.e.AdviceRequests(f.now)), 1)
			is.Equal(len(f.e.AdviceRequests(f.now)), 0)
		},
		"a worker without permission is not asked about again": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(1, 1))
			f.answerRequests()
			f.now = f.now.Add(time.Second)
			f.workers(3)
			is.Equal(len(f.answerRequests()), 0)
		},
		"a request without an answer is repeated": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(1, 1))
			q := f.e.AdviceRequests(f.now)
			f.e.RecordAdvice(q[0], nil, false, f.now, f.now)
			f.now = f.now.Add(time.Second)
			f.workers(3)
			is.Equal(len(f.e.AdviceRequests(f.now)), 1)
		},
		"an expired ticket is renewed": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(2, 8)) // one worker is allowed and holds one task
			f.answerRequests(node(0))
			f.tick()
			is.Equal(len(f.runs("j")), 1)
			f.now = f.now.Add(5 * time.Second)
			f.workers(3)
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
			f.tick()
			is.Equal(len(f.runs("j")), 0) // the ticket has expired
			is.Equal(len(f.answerRequests(node(0))), 1)
			f.tick()
			is.Equal(len(f.runs("j")), 1)
		},
		"a refused ticket is dropped": func(is *is.I, f *testCluster) {
			submitWithTickets(f, 1, step(1, 1))
			f.answerRequests(node(0))
			f.tick()
			r := f.runs("j")[0]
			f.report(node(0), func(rep *wire.WorkerReport) {
				rep.Running = nil
				rep.Refused = []wire.RefusedRun{{Task: r.task.id(), Run: r.number, Reason: "ticket"}}
			}, nil)
			f.now = f.now.Add(time.Second)
			f.workers(3)
			is.Equal(len(f.answerRequests(node(0))), 1)
		},
		"urgent work asks about workers on which it must preempt runs": func(is *is.I, f *testCluster) {
			f.e.SetGuarantees(map[string]int{"c": 8})
			f.e.Submit(f.job("full", 1, step(3, 8)), f.now)
			f.tick()
			submitWithTickets(f, 0, step(1, 8))
			is.Equal(len(f.answerRequests(node(2))), 1)
			f.tick()
			stopped := 0
			for _, r := range f.runs("full") {
				if r.phase == stopping {
					stopped++
					is.Equal(r.worker.Node, node(2))
				}
			}
			is.Equal(stopped, 1)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestCluster(t)
			f.workers(3)
			tt(is.New(t), f)
		})
	}
}
