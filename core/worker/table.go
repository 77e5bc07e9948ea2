package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Table is the state of one worker. It is not safe for concurrent use.
type Table struct {
	capacity config.Demand
	service  bool // the worker takes new tasks
	version  uint64
	homes    map[plan.HomeKey]config.Demand
	tasks    map[ID]*Task
	sequence uint64
}

// NewTable returns the table of a worker that is out of service.
func NewTable() *Table {
	return &Table{homes: make(map[plan.HomeKey]config.Demand), tasks: make(map[ID]*Task)}
}

// SetCapacity sets the worker's resources. Tasks that run keep theirs.
func (t *Table) SetCapacity(d config.Demand) { t.capacity = d }

// Capacity returns the worker's resources.
func (t *Table) Capacity() config.Demand { return t.capacity }

// SetAccepting opens or closes the worker for new tasks.
func (t *Table) SetAccepting(on bool) { t.service = on }

// Accepting reports whether the worker takes new tasks.
func (t *Table) Accepting() bool { return t.service }

// PlanVersion returns the version of the plan in force.
func (t *Table) PlanVersion() uint64 { return t.version }

// SetHomes puts a plan in force and reports whether it did; an older plan, or
// one that is in force already, changes nothing. Work outside its customer's
// new home becomes borrowed.
func (t *Table) SetHomes(version uint64, homes map[plan.HomeKey]config.Demand) bool {
	if version <= t.version {
		return false
	}
	t.version = version
	t.homes = maps.Clone(homes)
	t.assignHomes()
	return true
}

// assignHomes gives the homes to the tasks that asked for them, those of the
// home's own shape before guests, oldest first.
func (t *Table) assignHomes() {
	used := make(map[plan.HomeKey]config.Demand)
	for _, guests := range []bool{false, true} {
		for _, x := range t.ordered() {
			if x.Guest != guests {
				continue
			}
			sum := used[x.key()].Add(x.Demand)
			x.InHome = x.HomeShape != "" && x.Phase != Stopping && sum.Fits(t.homes[x.key()])
			if x.InHome {
				used[x.key()] = sum
			}
		}
	}
}

// key names the home that the task asked for.
func (x *Task) key() plan.HomeKey { return plan.HomeKey{Customer: x.Customer, Shape: x.HomeShape} }

// ordered returns the tasks in the order of their admission.
func (t *Table) ordered() []*Task {
	return slices.SortedFunc(maps.Values(t.tasks), func(a, b *Task) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// Task returns a copy of a row; ok is false if there is none.
func (t *Table) Task(id ID) (task Task, ok bool) {
	x, ok := t.tasks[id]
	if !ok {
		return Task{}, false
	}
	return *x, true
}

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.tasks) }

// Free returns what can be admitted without preemption. Tasks that stop still
// hold their resources.
func (t *Table) Free() config.Demand {
	free := t.capacity
	for _, x := range t.tasks {
		free = free.Sub(x.Demand)
	}
	return config.Demand{Slots: max(free.Slots, 0), Accelerators: max(free.Accelerators, 0)}
}

// promised returns what is left when every stopping task has stopped.
func (t *Table) promised() config.Demand {
	left := t.capacity
	for _, x := range t.tasks {
		if x.Phase != Stopping {
			left = left.Sub(x.Demand)
		}
	}
	return left
}

// physical returns what no task occupies now; waiting tasks occupy nothing.
func (t *Table) physical() config.Demand {
	left := t.capacity
	for _, x := range t.tasks {
		if x.Phase != Waiting {
			left = left.Sub(x.Demand)
		}
	}
	return left
}

// Usage returns what each customer uses and in which way; mine is the entry
// whose part is counted apart.
func (t *Table) Usage(mine string) map[UsageKey]Usage {
	sums := make(map[UsageKey]Usage)
	for _, x := range t.tasks {
		k := UsageKey{Customer: x.Customer}
		if x.InHome {
			k.Shape, k.Guest = x.HomeShape, x.Guest
		}
		u := sums[k]
		u.Used = u.Used.Add(x.Demand)
		if x.Entry == mine {
			u.Mine = u.Mine.Add(x.Demand)
		}
		sums[k] = u
	}
	return sums
}

// Admit decides on a task. A task that asks for its customer's home is
// admitted if the home has room, whoever else uses it now.
func (t *Table) Admit(a AdmitRequest, now time.Time) AdmitResult {
	if !t.service {
		return AdmitResult{Refusal: NotAccepting}
	}
	if _, ok := t.tasks[a.ID]; ok {
		return AdmitResult{Refusal: Duplicate}
	}
	if a.HomeShape == "" {
		return t.admitBorrowed(a, now)
	}
	return t.admitHome(a, now)
}

func (t *Table) admitBorrowed(a AdmitRequest, now time.Time) AdmitResult {
	if !a.Demand.Fits(t.Free()) {
		return AdmitResult{Refusal: Busy}
	}
	t.insert(a, now, false)
	return AdmitResult{Ready: true}
}

func (t *Table) admitHome(a AdmitRequest, now time.Time) AdmitResult {
	k := plan.HomeKey{Customer: a.Customer, Shape: a.HomeShape}
	if !t.homeUsed(k, a.Guest).Add(a.Demand).Fits(t.homes[k]) {
		return AdmitResult{Refusal: HomeFull}
	}
	victims, ok := t.victims(a)
	if !ok {
		return AdmitResult{Refusal: Busy}
	}
	for _, id := range victims {
		t.Stop(id)
	}
	x := t.insert(a, now, true)
	// Guests that no longer fit beside it become borrowed.
	t.assignHomes()
	t.promote()
	return AdmitResult{Ready: x.Phase == Held, Victims: victims}
}

// homeUsed returns what the work inside a home uses. Work of the home's own
// shape can preempt guests, so they count for other guests only.
func (t *Table) homeUsed(k plan.HomeKey, guests bool) config.Demand {
	var sum config.Demand
	for _, x := range t.tasks {
		if x.InHome && x.Phase != Stopping && x.key() == k && (guests || !x.Guest) {
			sum = sum.Add(x.Demand)
		}
	}
	return sum
}

func (t *Table) insert(a AdmitRequest, now time.Time, home bool) *Task {
	t.sequence++
	x := &Task{
		ID:        a.ID,
		Entry:     a.Entry,
		Customer:  a.Customer,
		Demand:    a.Demand,
		HomeShape: a.HomeShape,
		Guest:     a.Guest,
		InHome:    home,
		Gang:      a.Gang,
		Phase:     Held,
		sequence:  t.sequence,
	}
	if home {
		x.Phase = Waiting
	}
	if a.HoldTimeout > 0 {
		x.ExpiresAt = now.Add(a.HoldTimeout)
	}
	t.tasks[a.ID] = x
	return x
}

// victims picks the tasks that must stop for a to fit: borrowed before guests
// of the home, other customers' before its own, single tasks before gangs, the
// newest first. A task that turns out not to be needed is spared.
func (t *Table) victims(a AdmitRequest) (ids []ID, ok bool) {
	left := t.promised()
	if a.Demand.Fits(left) {
		return nil, true
	}
	var picked []*Task
	for _, x := range t.preemptible(a) {
		left = left.Add(x.Demand)
		picked = append(picked, x)
		if a.Demand.Fits(left) {
			break
		}
	}
	if !a.Demand.Fits(left) {
		return nil, false
	}
	for _, x := range picked {
		if without := left.Sub(x.Demand); a.Demand.Fits(without) {
			left = without
			continue
		}
		ids = append(ids, x.ID)
	}
	return ids, true
}

// preemptible returns the tasks that a may preempt, the first to go first.
func (t *Table) preemptible(a AdmitRequest) []*Task {
	var rows []*Task
	for _, x := range t.tasks {
		guest := !a.Guest && x.Guest && x.Customer == a.Customer && x.HomeShape == a.HomeShape
		if x.Phase != Stopping && (!x.InHome || guest) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(x, y *Task) int {
		return cmp.Or(
			config.CompareBool(x.InHome, y.InHome),
			config.CompareBool(x.Customer == a.Customer, y.Customer == a.Customer),
			config.CompareBool(x.Gang, y.Gang),
			cmp.Compare(y.sequence, x.sequence),
		)
	})
	return rows
}

// Start moves a held task to running and clears the limit of its hold. It
// reports whether the task was held.
func (t *Table) Start(id ID, now time.Time) bool {
	x, ok := t.tasks[id]
	if !ok || x.Phase != Held {
		return false
	}
	x.Phase = Running
	x.Started = now
	x.ExpiresAt = time.Time{}
	return true
}

// Renew extends the hold or the lease of a task. It reports whether the task
// exists and is not stopping.
func (t *Table) Renew(id ID, until time.Time) bool {
	x, ok := t.tasks[id]
	if !ok || x.Phase == Stopping {
		return false
	}
	x.ExpiresAt = until
	return true
}

// Stop marks a task as stopping, until it is removed. A waiting task occupies
// nothing and is removed at once. It reports whether that changed anything.
func (t *Table) Stop(id ID) bool {
	x, ok := t.tasks[id]
	if !ok || x.Phase == Stopping {
		return false
	}
	if x.Phase == Waiting {
		delete(t.tasks, id)
		return true
	}
	x.Phase = Stopping
	return true
}

// Remove deletes a task that has ended. The events tell which waiting tasks
// have their resources now.
func (t *Table) Remove(id ID) []Event {
	if _, ok := t.tasks[id]; !ok {
		return nil
	}
	delete(t.tasks, id)
	return t.promote()
}

// promote moves waiting tasks to held, in the order of their admission, as far
// as the resources reach.
func (t *Table) promote() []Event {
	var events []Event
	left := t.physical()
	for _, x := range t.ordered() {
		if x.Phase != Waiting {
			continue
		}
		if !x.Demand.Fits(left) {
			break
		}
		left = left.Sub(x.Demand)
		x.Phase = Held
		events = append(events, Event{Kind: TaskReady, ID: x.ID})
	}
	return events
}

// Tick expires holds and leases.
func (t *Table) Tick(now time.Time) []Event {
	var events []Event
	for _, x := range t.ordered() {
		if x.ExpiresAt.IsZero() || now.Before(x.ExpiresAt) || x.Phase == Stopping {
			continue
		}
		if x.Phase == Running {
			x.Phase = Stopping
			events = append(events, Event{Kind: LeaseExpired, ID: x.ID})
			continue
		}
		delete(t.tasks, x.ID)
		events = append(events, Event{Kind: HoldExpired, ID: x.ID})
	}
	return append(events, t.promote()...)
}
