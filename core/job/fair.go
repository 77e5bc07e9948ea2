package job

import (
	"time"

	"bramleythread/core/share"
	"bramleythread/io/wire"
)

// shareHalfLife is the half-life of the service that counts for shares: the length of
// the customers' bursts, which is 4 to 8 s.
const shareHalfLife = 6 * time.Second

// chargeService records the service that the customers of each service have received
// since the last tick. Long-running work is left out: it holds its resources for days,
// so it would put all other work of its customer last.
func (e *Engine) chargeService(now time.Time) {
	used := make(map[string]map[string]int, len(e.ledgers))
	for service := range e.ledgers {
		used[service] = make(map[string]int)
	}
	for _, j := range e.jobList {
		if used[j.Service] == nil {
			used[j.Service] = make(map[string]int)
		}
		for _, s := range j.stageList {
			if s.activeRuns > 0 && !s.step.LongRunning {
				used[j.Service][j.Customer] += s.activeRuns * milliEquivalents(demand(s.step))
			}
		}
	}
	for service, millicores := range used {
		if e.ledgers[service] == nil {
			e.ledgers[service] = share.New(shareHalfLife, now)
		}
		e.ledgers[service].Advance(millicores, now)
	}
}

// milliEquivalents returns the weight of CPU and accelerators in thousandths of a core.
// An integer keeps sums independent of their order.
func milliEquivalents(d wire.Resources) int {
	return d.CPU + 1000*coresPerAccelerator*d.Accelerators
}

// shareDelays returns, by service and customer, by how much later the customer's
// waiting work is served than its age says, because the customer has received more
// than its share. It is empty unless several customers have unfinished work.
func (e *Engine) shareDelays() map[string]map[string]time.Duration {
	if e.cfg.Policy.NoShares {
		return nil
	}
	weights := make(map[string]map[string]int)
	for _, j := range e.jobList {
		if j.state.Final() {
			continue
		}
		if weights[j.Service] == nil {
			weights[j.Service] = make(map[string]int)
		}
		weights[j.Service][j.Customer] = 1 + e.guaranteed[j.Customer]
	}
	delays := make(map[string]map[string]time.Duration)
	for service, customers := range weights {
		ledger := e.ledgers[service]
		if ledger == nil || len(customers) < 2 {
			continue
		}
		delays[service] = make(map[string]time.Duration)
		for customer := range customers {
			delays[service][customer] = ledger.Lead(customer, customers)
		}
	}
	return delays
}

// shareDelay returns by how much later a waiting stage is served than its age says. It
// addresses the burst of one customer that fills the fleet: without it, the work of all
// others waits for the whole burst. The delay is the time in which the customer's share
// provides what the customer has received beyond it, so that its work is served again
// once the others have caught up, and is never starved. Urgent work within its
// customer's guarantee is not delayed, nor is long-running work, which does not count as
// service.
func (e *Engine) shareDelay(s *stage, delays map[string]map[string]time.Duration) time.Duration {
	if s.step.LongRunning || s.job.Priority == 0 && e.withinGuarantee(s.job) {
		return 0
	}
	return delays[s.job.Service][s.job.Customer]
}
