package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const halfLife = 6 * time.Second

// TestLead guards against shares that work of the past or of customers without work
// distorts.
func TestLead(t *testing.T) {
	equal := map[string]int{"a": 1, "b": 1}
	tests := map[string]struct {
		used    map[string]int // millicores for a minute
		later   map[string]int // for another minute
		weights map[string]int
		ahead   bool // whether a has received more than its share
	}{
		"its share":           {used: map[string]int{"a": 4000, "b": 4000}, weights: equal},
		"all of the capacity": {used: map[string]int{"a": 8000}, weights: equal, ahead: true},
		"long ago":            {used: map[string]int{"a": 8000}, later: map[string]int{"a": 4000, "b": 4000}, weights: equal},
		"alone":               {used: map[string]int{"a": 8000}, weights: map[string]int{"a": 1}},
		"a large weight":      {used: map[string]int{"a": 6000, "b": 2000}, weights: map[string]int{"a": 3, "b": 1}},
		"without work":        {used: map[string]int{"a": 8000}, weights: map[string]int{"b": 1}},
		"nothing has run":     {weights: equal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)
			l := New(halfLife, now)
			l.Advance(tt.used, now.Add(time.Minute))
			l.Advance(tt.later, now.Add(2*time.Minute))
			const rounding = 100 * time.Millisecond // 1/1000 of the service of the first minute is left
			is.Equal(l.Lead("a", tt.weights) > rounding, tt.ahead)
		})
	}
}

// TestAdvance guards against service that depends on how often it is recorded, against
// clocks that go back, and against customers that are kept for ever.
func TestAdvance(t *testing.T) {
	is := is.New(t)
	now := time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)
	once, often := New(halfLife, now), New(halfLife, now)
	used := map[string]int{"a": 8000}
	once.Advance(used, now.Add(10*time.Second))
	for i := range 100 {
		often.Advance(used, now.Add(time.Duration(i+1)*100*time.Millisecond))
	}
	difference := once.Service("a") - often.Service("a")
	is.True(difference < 1e-6 && difference > -1e-6)
	before := once.Service("a")
	once.Advance(used, now)
	is.Equal(once.Service("a"), before)
	once.Advance(nil, now.Add(time.Hour))
	is.Equal(len(once.service), 0)
}
