package worker

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

func admitRequest(request, customer string, n int, home bool) AdmitRequest {
	return AdmitRequest{ID: ID{Request: request, Attempt: 1}, Customer: customer, Demand: config.Demand{Slots: n, Accelerators: n}, HomeShape: homeShape(home)}
}

// homeOf returns the key of a customer's home in these tests.
func homeOf(customer string) plan.HomeKey { return plan.HomeKey{Customer: customer, Shape: "home"} }

func homeShape(home bool) string {
	if home {
		return "home"
	}
	return ""
}

func newTestTable(homes map[string]int) *Table {
	t := NewTable()
	t.SetCapacity(config.Demand{Slots: 8, Accelerators: 8})
	t.SetAccepting(true)
	demands := make(map[plan.HomeKey]config.Demand)
	for c, n := range homes {
		demands[homeOf(c)] = config.Demand{Slots: n, Accelerators: n}
	}
	t.SetHomes(1, demands)
	return t
}

func TestHomeTaskPreemptsBorrowedTasks(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(map[string]int{"a": 8})
	for i := range 8 {
		g := tab.Admit(admitRequest(fmt.Sprint("b", i), "b", 1, false), start)
		is.Equal(g.Refusal, Admitted)
		is.True(tab.Start(ID{fmt.Sprint("b", i), 1}, start))
	}
	g := tab.Admit(admitRequest("a", "a", 8, true), start)
	is.Equal(g.Refusal, Admitted)
	is.Equal(len(g.Victims), 8)
	is.True(!g.Ready)
	var events []Event
	for _, id := range g.Victims {
		events = append(events, tab.Remove(id)...)
	}
	is.Equal(events, []Event{{Kind: TaskReady, ID: ID{"a", 1}}})
	is.True(tab.Start(ID{"a", 1}, start))
}

func TestHomeTasksAreNotPreempted(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(map[string]int{"a": 4, "b": 4})
	is.Equal(tab.Admit(admitRequest("a1", "a", 4, true), start).Refusal, Admitted)
	is.Equal(tab.Admit(admitRequest("a2", "a", 1, true), start).Refusal, HomeFull)
	is.Equal(tab.Admit(admitRequest("a3", "a", 4, false), start).Refusal, Admitted)
	g := tab.Admit(admitRequest("b1", "b", 4, true), start)
	is.Equal(g.Victims, []ID{{"a3", 1}})
}

func TestHomeShapePreemptsGuests(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(map[string]int{"a": 8})
	guest := admitRequest("guest", "a", 1, true)
	guest.Guest = true
	is.Equal(tab.Admit(guest, start).Refusal, Admitted)
	is.Equal(tab.Admit(admitRequest("b", "b", 7, false), start).Refusal, Admitted)
	g := tab.Admit(admitRequest("own", "a", 8, true), start)
	is.Equal(g.Victims, []ID{{"b", 1}, {"guest", 1}})
	other := admitRequest("guest-2", "a", 1, true)
	other.Guest = true
	is.Equal(tab.Admit(other, start).Refusal, HomeFull)
}

func TestOlderPlanIsIgnored(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(nil)
	is.True(tab.SetHomes(5, map[plan.HomeKey]config.Demand{homeOf("a"): {Slots: 1}}))
	is.True(!tab.SetHomes(4, nil))
	is.True(!tab.SetHomes(5, nil))
	is.Equal(tab.PlanVersion(), uint64(5))
}

func TestHoldAndLeaseExpiry(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(nil)
	a := admitRequest("g", "a", 1, false)
	a.HoldTimeout = time.Second
	tab.Admit(a, start)
	is.Equal(len(tab.Tick(start.Add(999*time.Millisecond))), 0)
	is.True(tab.Start(a.ID, start))
	is.True(tab.Renew(a.ID, start.Add(2*time.Second)))
	is.Equal(tab.Tick(start.Add(2*time.Second)), []Event{{Kind: LeaseExpired, ID: a.ID}})
	is.True(!tab.Renew(a.ID, start.Add(9*time.Second))) // the lease has expired
}

// TestGuaranteesHoldForAnyHistory runs random admissions, ends and plans. After each
// step it checks that the resources in use never exceed the capacity, and that all
// customers together can reclaim the free parts of their homes at once.
func TestGuaranteesHoldForAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := newTestTable(nil)
		version := uint64(1)
		live := []ID{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				version++
				tab.SetHomes(version, randomHomes(t))
			case 1, 2, 3:
				a := admitRequest(fmt.Sprint("q", step), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					rapid.IntRange(1, 8).Draw(t, "n"), rapid.Bool().Draw(t, "home"))
				a.Guest = a.HomeShape != "" && rapid.Bool().Draw(t, "guest")
				if g := tab.Admit(a, now); g.Refusal == Admitted {
					live = append(live, a.ID)
				}
				tab.Start(a.ID, now)
			case 4:
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, "end")
					tab.Remove(live[i])
					live = append(live[:i], live[i+1:]...)
				}
			}
			checkTable(t, tab)
		}
	})
}

func randomHomes(t *rapid.T) map[plan.HomeKey]config.Demand {
	homes := make(map[plan.HomeKey]config.Demand)
	left := 8
	for _, c := range []string{"a", "b", "c"} {
		n := rapid.IntRange(0, left).Draw(t, "home")
		left -= n
		homes[homeOf(c)] = config.Demand{Slots: n, Accelerators: n}
	}
	return homes
}

func checkTable(t *rapid.T, tab *Table) {
	if left := tab.unoccupied(); left.Accelerators < 0 || left.Slots < 0 {
		t.Fatalf("usage exceeds the capacity: %v left", left)
	}
	if left := tab.freeAfterStops(); left.Accelerators < 0 {
		t.Fatalf("admitted tasks exceed the capacity: %v left", left)
	}
	// The free part of every home can be reclaimed: used and free homes together
	// never exceed the capacity.
	var sum config.Demand
	for k, home := range tab.homes {
		used := tab.homeUsed(k, false)
		if !used.Fits(home) {
			t.Fatalf("home tasks of %s exceed its home: %v of %v", k.Customer, used, home)
		}
		sum = sum.Add(home)
	}
	if !sum.Fits(tab.capacity) {
		t.Fatalf("homes exceed the capacity")
	}
	reclaimAll(t, clone(tab))
}

// reclaimAll requests the free part of every home at once.
func reclaimAll(t *rapid.T, tab *Table) {
	for k, home := range tab.homes {
		rest := home.Sub(tab.homeUsed(k, false))
		if rest.Accelerators == 0 {
			continue
		}
		a := AdmitRequest{ID: ID{Request: "reclaim-" + k.Customer, Attempt: 1}, Customer: k.Customer, Demand: rest, HomeShape: k.Shape}
		if g := tab.Admit(a, start); g.Refusal != Admitted {
			t.Fatalf("%s cannot reclaim %v of its home: refusal %d", k.Customer, rest, g.Refusal)
		}
	}
	for id, x := range tab.tasks {
		if x.Phase == Stopping {
			tab.Remove(id)
		}
	}
	for id := range tab.tasks {
		if x, _ := tab.Task(id); x.Phase == Waiting {
			t.Fatalf("%v still waits after all stopping tasks have stopped", id)
		}
	}
}

func clone(tab *Table) *Table {
	c := *tab
	c.tasks = make(map[ID]*Task, len(tab.tasks))
	for id, x := range tab.tasks {
		y := *x
		c.tasks[id] = &y
	}
	return &c
}
