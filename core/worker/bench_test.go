package worker

import (
	"fmt"
	"testing"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// BenchmarkReclaim measures the admission of a home task on a worker full of borrowed
// tasks: 8 is a current worker, 19 the design target, 64 more than that.
func BenchmarkReclaim(b *testing.B) {
	for _, n := range []int{8, 19, 64} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			tab := NewTable()
			tab.SetCapacity(config.Demand{Slots: n, Accelerators: n})
			tab.SetAccepting(true)
			tab.SetHomes(1, map[plan.HomeKey]config.Demand{homeOf("a"): {Slots: 1, Accelerators: 1}})
			for i := range n {
				tab.Admit(admitRequest(fmt.Sprint("b", i), "b", 1, false), start)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := admitRequest("a", "a", 1, true)
				g := tab.Admit(a, start)
				if len(g.Victims) != 1 {
					b.Fatal("nothing was preempted")
				}
				tab.Remove(a.ID)
				tab.Remove(g.Victims[0])
				tab.Admit(admitRequest(fmt.Sprint("c", i), "b", 1, false), start)
			}
		})
	}
}
