// Package share records how much service customers have received lately and compares
// it with what they would receive if all shared the capacity by their weights.
package share

import (
	"math"
	"time"
)

// negligibleService is the service in core-seconds below which a customer without runs
// is forgotten, so that the number of entries is bounded by that of recent customers.
const negligibleService = 0.01

// Ledger is the recent service of each customer in core-seconds, in which older
// service counts half for each half-life. It is not safe for concurrent use.
type Ledger struct {
	halfLife time.Duration
	service  map[string]float64
	total    float64   // service of all customers
	inUse    float64   // cores used by all customers at the last Advance
	at       time.Time // of the last Advance
}

// New returns an empty ledger. now is the time from which it records service.
func New(halfLife time.Duration, now time.Time) *Ledger {
	return &Ledger{halfLife: halfLife, service: make(map[string]float64), at: now}
}

// Advance adds the service since the last call, during which each customer used the
// given number of millicores. It ignores a time that is not later.
func (l *Ledger) Advance(millicores map[string]int, now time.Time) {
	elapsed := now.Sub(l.at)
	if elapsed <= 0 {
		return
	}
	l.at = now
	kept := math.Exp2(-elapsed.Seconds() / l.halfLife.Seconds())
	used := 0
	for customer, n := range millicores {
		l.service[customer] += 0 // adds the customer
		used += n
	}
	l.inUse = float64(used) / 1000
	l.total = l.total*kept + l.inUse*l.meanAge()*(1-kept)
	for customer, s := range l.service {
		cores := float64(millicores[customer]) / 1000
		s = s*kept + cores*l.meanAge()*(1-kept)
		if s < negligibleService && cores == 0 {
			delete(l.service, customer)
			continue
		}
		l.service[customer] = s
	}
}

// meanAge returns the service in core-seconds to which a constant use of one core
// converges.
func (l *Ledger) meanAge() float64 { return l.halfLife.Seconds() / math.Ln2 }

// Service returns the recent service of a customer in core-seconds.
func (l *Ledger) Service(customer string) float64 { return l.service[customer] }

// Lead returns the time in which a customer's share provides what the customer has
// received beyond its share, or 0. weights holds the customers that have work. They
// share what is in use, or has been lately, because not all resources of a fleet can
// be used together.
func (l *Ledger) Lead(customer string, weights map[string]int) time.Duration {
	capacity, total := max(l.inUse, l.total/l.meanAge()), 0
	for _, w := range weights {
		total += w
	}
	if total == 0 || weights[customer] == 0 || capacity <= 0 {
		return 0
	}
	fair := capacity * float64(weights[customer]) / float64(total)
	lead := l.service[customer]/fair - l.meanAge()
	return max(time.Duration(lead*float64(time.Second)), 0)
}
