package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Table holds the tasks and homes of one worker. It is not safe for concurrent use.
type Table struct {
	capacity    config.Demand
	accepting   bool // new tasks are admitted
	planVersion uint64
	homes       map[plan.HomeKey]config.Demand
	tasks       map[ID]*Task
	sequence    uint64
}

// NewTable returns an empty table that accepts no tasks yet.
func NewTable() *Table {
	return &Table{homes: make(map[plan.HomeKey]config.Demand), tasks: make(map[ID]*Task)}
}

// SetCapacity sets the worker's resources. Admitted tasks keep theirs.
func (t *Table) SetCapacity(d config.Demand) { t.capacity = d }

// Capacity returns the worker's resources.
func (t *Table) Capacity() config.Demand { return t.capacity }

// SetAccepting sets whether the worker accepts new tasks.
func (t *Table) SetAccepting(on bool) { t.accepting = on }

// Accepting reports whether the worker accepts new tasks.
func (t *Table) Accepting() bool { return t.accepting }

// PlanVersion returns the version of the current plan.
func (t *Table) PlanVersion() uint64 { return t.planVersion }

// SetHomes applies the homes of a plan and reports whether it did. A plan that is
// not newer than the current one is ignored. Tasks that no longer fit into their
// customer's home become borrowed.
func (t *Table) SetHomes(version uint64, homes map[plan.HomeKey]config.Demand) bool {
	if version <= t.planVersion {
		return false
	}
	t.planVersion = version
	t.homes = maps.Clone(homes)
	t.assignHomes()
	return true
}

// assignHomes assigns homes to the tasks that requested them: first tasks of the
// home's own shape, then guests, each in the order of their admission.
func (t *Table) assignHomes() {
	used := make(map[plan.HomeKey]config.Demand)
	for _, guests := range []bool{false, true} {
		for _, task := range t.inAdmissionOrder() {
			if task.Guest != guests {
				continue
			}
			sum := used[task.key()].Add(task.Demand)
			task.InHome = task.HomeShape != "" && task.Phase != Stopping && sum.Fits(t.homes[task.key()])
			if task.InHome {
				used[task.key()] = sum
			}
		}
	}
}

// key identifies the home that the task requested.
func (t *Task) key() plan.HomeKey { return plan.HomeKey{Customer: t.Customer, Shape: t.HomeShape} }

// inAdmissionOrder returns the tasks in the order of their admission.
func (t *Table) inAdmissionOrder() []*Task {
	return slices.SortedFunc(maps.Values(t.tasks), func(a, b *Task) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// Task returns a copy of a task. ok is false if it is not in the table.
func (t *Table) Task(id ID) (task Task, ok bool) {
	row, ok := t.tasks[id]
	if !ok {
		return Task{}, false
	}
	return *row, true
}

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.tasks) }

// Free returns the resources that can be allocated without preemption. Stopping
// tasks still hold their resources.
func (t *Table) Free() config.Demand {
	free := t.capacity
	for _, task := range t.tasks {
		free = free.Sub(task.Demand)
	}
	return config.Demand{Slots: max(free.Slots, 0), Accelerators: max(free.Accelerators, 0)}
}

// freeAfterStops returns the resources that are free once all stopping tasks have
// stopped.
func (t *Table) freeAfterStops() config.Demand {
	left := t.capacity
	for _, task := range t.tasks {
		if task.Phase != Stopping {
			left = left.Sub(task.Demand)
		}
	}
	return left
}

// unoccupied returns the resources that no task occupies now. Waiting tasks do not
// occupy resources yet.
func (t *Table) unoccupied() config.Demand {
	left := t.capacity
	for _, task := range t.tasks {
		if task.Phase != Waiting {
			left = left.Sub(task.Demand)
		}
	}
	return left
}

// Usage returns what each customer uses, per home and for borrowed resources. mine
// is the entry whose part is also counted separately.
func (t *Table) Usage(mine string) map[UsageKey]Usage {
	sums := make(map[UsageKey]Usage)
	for _, task := range t.tasks {
		k := UsageKey{Customer: task.Customer}
		if task.InHome {
			k.Shape, k.Guest = task.HomeShape, task.Guest
		}
		u := sums[k]
		u.Used = u.Used.Add(task.Demand)
		if task.Entry == mine {
			u.Mine = u.Mine.Add(task.Demand)
		}
		sums[k] = u
	}
	return sums
}

// Admit decides whether to admit a task. A task for its customer's home is admitted
// if the home has room, even if borrowed tasks use it now and must be preempted.
func (t *Table) Admit(req AdmitRequest, now time.Time) AdmitResult {
	if !t.accepting {
		return AdmitResult{Refusal: NotAccepting}
	}
	if _, ok := t.tasks[req.ID]; ok {
		return AdmitResult{Refusal: Duplicate}
	}
	if req.HomeShape == "" {
		return t.admitBorrowed(req, now)
	}
	return t.admitHome(req, now)
}

func (t *Table) admitBorrowed(req AdmitRequest, now time.Time) AdmitResult {
	if !req.Demand.Fits(t.Free()) {
		return AdmitResult{Refusal: Busy}
	}
	t.insert(req, now, false)
	return AdmitResult{Ready: true}
}

func (t *Table) admitHome(req AdmitRequest, now time.Time) AdmitResult {
	k := plan.HomeKey{Customer: req.Customer, Shape: req.HomeShape}
	if !t.homeUsed(k, req.Guest).Add(req.Demand).Fits(t.homes[k]) {
		return AdmitResult{Refusal: HomeFull}
	}
	victims, ok := t.selectVictims(req)
	if !ok {
		return AdmitResult{Refusal: Busy}
	}
	for _, id := range victims {
		t.Stop(id)
	}
	task := t.insert(req, now, true)
	// Guests that no longer fit into the home become borrowed.
	t.assignHomes()
	t.promote()
	return AdmitResult{Ready: task.Phase == Held, Victims: victims}
}

// homeUsed returns the resources used in a home. Guests count only if guests is set,
// since tasks of the home's own shape can preempt them.
func (t *Table) homeUsed(k plan.HomeKey, guests bool) config.Demand {
	var sum config.Demand
	for _, task := range t.tasks {
		if task.InHome && task.Phase != Stopping && task.key() == k && (guests || !task.Guest) {
			sum = sum.Add(task.Demand)
		}
	}
	return sum
}

func (t *Table) insert(req AdmitRequest, now time.Time, home bool) *Task {
	t.sequence++
	task := &Task{
		ID:        req.ID,
		Entry:     req.Entry,
		Customer:  req.Customer,
		Demand:    req.Demand,
		HomeShape: req.HomeShape,
		Guest:     req.Guest,
		InHome:    home,
		Gang:      req.Gang,
		Phase:     Held,
		sequence:  t.sequence,
	}
	if home {
		task.Phase = Waiting
	}
	if req.HoldTimeout > 0 {
		task.ExpiresAt = now.Add(req.HoldTimeout)
	}
	t.tasks[req.ID] = task
	return task
}

// selectVictims returns the tasks to preempt so that req fits: borrowed tasks before
// guests of the home, other customers' tasks before the customer's own, single
// tasks before gang members, newest first. Tasks that turn out not to be needed
// are left out.
func (t *Table) selectVictims(req AdmitRequest) (ids []ID, ok bool) {
	left := t.freeAfterStops()
	if req.Demand.Fits(left) {
		return nil, true
	}
	var picked []*Task
	for _, task := range t.preemptible(req) {
		left = left.Add(task.Demand)
		picked = append(picked, task)
		if req.Demand.Fits(left) {
			break
		}
	}
	if !req.Demand.Fits(left) {
		return nil, false
	}
	for _, task := range picked {
		if without := left.Sub(task.Demand); req.Demand.Fits(without) {
			left = without
			continue
		}
		ids = append(ids, task.ID)
	}
	return ids, true
}

// preemptible returns the tasks that req may preempt, in the order of preemption.
func (t *Table) preemptible(req AdmitRequest) []*Task {
	var rows []*Task
	for _, task := range t.tasks {
		guest := !req.Guest && task.Guest && task.Customer == req.Customer && task.HomeShape == req.HomeShape
		if task.Phase != Stopping && (!task.InHome || guest) {
			rows = append(rows, task)
		}
	}
	slices.SortFunc(rows, func(task, other *Task) int {
		return cmp.Or(
			config.CompareBool(task.InHome, other.InHome),
			config.CompareBool(task.Customer == req.Customer, other.Customer == req.Customer),
			config.CompareBool(task.Gang, other.Gang),
			cmp.Compare(other.sequence, task.sequence),
		)
	})
	return rows
}

// Start marks a held task as running and clears the expiry of its hold. It reports
// whether the task was held.
func (t *Table) Start(id ID, now time.Time) bool {
	task, ok := t.tasks[id]
	if !ok || task.Phase != Held {
		return false
	}
	task.Phase = Running
	task.Started = now
	task.ExpiresAt = time.Time{}
	return true
}

// Renew extends the hold or the lease of a task. It reports whether the task exists
// and is not stopping.
func (t *Table) Renew(id ID, until time.Time) bool {
	task, ok := t.tasks[id]
	if !ok || task.Phase == Stopping {
		return false
	}
	task.ExpiresAt = until
	return true
}

// Stop marks a task as stopping until it is removed. A waiting task occupies nothing
// and is removed at once. Stop reports whether it changed anything.
func (t *Table) Stop(id ID) bool {
	task, ok := t.tasks[id]
	if !ok || task.Phase == Stopping {
		return false
	}
	if task.Phase == Waiting {
		delete(t.tasks, id)
		return true
	}
	task.Phase = Stopping
	return true
}

// Remove removes a task that has ended and returns an event for each waiting task
// that is now held.
func (t *Table) Remove(id ID) []Event {
	if _, ok := t.tasks[id]; !ok {
		return nil
	}
	delete(t.tasks, id)
	return t.promote()
}

// promote changes waiting tasks to held, in the order of their admission, until one
// does not fit.
func (t *Table) promote() []Event {
	var events []Event
	left := t.unoccupied()
	for _, task := range t.inAdmissionOrder() {
		if task.Phase != Waiting {
			continue
		}
		if !task.Demand.Fits(left) {
			break
		}
		left = left.Sub(task.Demand)
		task.Phase = Held
		events = append(events, Event{Kind: TaskReady, ID: task.ID})
	}
	return events
}

// Tick expires holds and leases and returns the resulting events.
func (t *Table) Tick(now time.Time) []Event {
	var events []Event
	for _, task := range t.inAdmissionOrder() {
		if task.ExpiresAt.IsZero() || now.Before(task.ExpiresAt) || task.Phase == Stopping {
			continue
		}
		if task.Phase == Running {
			task.Phase = Stopping
			events = append(events, Event{Kind: LeaseExpired, ID: task.ID})
			continue
		}
		delete(t.tasks, task.ID)
		events = append(events, Event{Kind: HoldExpired, ID: task.ID})
	}
	return append(events, t.promote()...)
}
