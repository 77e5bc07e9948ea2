package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// ReportTimeout is the time after a worker's last report at which it gets no new
// work.
const ReportTimeout = 2500 * time.Millisecond

// Scheduler is the state of one entry. It is not safe for concurrent use.
type Scheduler struct {
	// Record receives every call that changes the state; it may be nil.
	Record func(c Call)

	policy    Policy
	cfg       *config.Config
	plan      *plan.Plan
	workers   map[string]*Worker
	order     []*Worker // by zone, rack and name: the global worker order
	racks     [][]*Worker
	index     index
	freeSlots int       // of the workers in the index
	reserved  []*Worker // that have a reservation
	laneList  []*lane   // in a fixed order
	weights   map[string]int
	weightSum int
	jobs      map[string]*Job
	lanes     map[laneKey]*lane
	deadlines timeline
	delayed   timeline
	learned   map[string]*runTimes // by service
	bursts    map[string]*burst    // by service
	services  []string             // that have a burst, sorted
	used      map[string]config.Demand
	queued    int
	customers map[string]int // waiting jobs by customer
	homes     map[string][]plan.Home
	total     config.Demand
	ejected   int           // workers
	freeing   config.Demand // by jobs that have been told to make room
	timer     time.Time     // next tick that a rule has asked for
	dirty     bool
}

// New returns a scheduler without configuration, workers or jobs.
func New(p Policy) *Scheduler {
	s := &Scheduler{
		policy:    p,
		cfg:       &config.Config{Limits: config.DefaultLimits()},
		plan:      &plan.Plan{},
		workers:   make(map[string]*Worker),
		jobs:      make(map[string]*Job),
		lanes:     make(map[laneKey]*lane),
		learned:   make(map[string]*runTimes),
		bursts:    make(map[string]*burst),
		used:      make(map[string]config.Demand),
		customers: make(map[string]int),
		homes:     make(map[string][]plan.Home),
	}
	s.deadlines = timeline{
		at:    func(j *Job) time.Time { return j.Deadline },
		index: func(j *Job) *int { return &j.deadlineIndex },
	}
	s.delayed = timeline{
		at:    func(j *Job) time.Time { return j.notUntil },
		index: func(j *Job) *int { return &j.delayIndex },
	}
	return s
}

// SetConfig puts a configuration in force for new and waiting jobs.
func (s *Scheduler) SetConfig(cfg *config.Config) {
	s.record(Call{Op: OpConfig, Config: cfg})
	s.cfg = cfg
	for key, l := range s.lanes {
		if v := cfg.Service(key.service); v != nil {
			l.class = class(v.Priority)
		}
	}
	s.sortLanes()
	s.weights, s.weightSum = make(map[string]int, len(cfg.Customers)), 0
	for _, c := range cfg.Customers {
		s.weights[c.Name] = c.Weight
		s.weightSum += c.Weight
	}
	s.dirty = true
}

// SetPlan puts a plan in force.
func (s *Scheduler) SetPlan(p *plan.Plan) {
	s.record(Call{Op: OpPlan, Plan: p})
	s.plan = p
	s.homes = make(map[string][]plan.Home)
	for _, h := range p.Homes {
		s.homes[h.Customer] = append(s.homes[h.Customer], h)
	}
	for _, w := range s.workers {
		s.setHomes(w)
		s.touch(w)
	}
	s.dirty = true
}

func (s *Scheduler) setHomes(w *Worker) {
	w.homes = s.plan.HomesOnWorker(w.Name)
	w.homed = config.Demand{}
	for _, d := range w.homes {
		w.homed = w.homed.Add(d)
	}
}

// Report updates a worker's row. Reports of an older incarnation, and those
// that a newer report has overtaken, change nothing.
func (s *Scheduler) Report(r WorkerReport, now time.Time) {
	s.record(Call{Op: OpReport, Now: now, Report: &r})
	w, ok := s.workers[r.Name]
	if ok && (r.Incarnation < w.incarnation || r.Incarnation == w.incarnation && r.Sequence <= w.sequence) {
		return
	}
	if !ok {
		w = s.addWorker(r)
	}
	if w.Zone != r.Zone || w.Rack != r.Rack {
		w.Zone, w.Rack = r.Zone, r.Rack
		s.sortWorkers()
	}
	s.total = s.total.Sub(w.Capacity).Add(r.Capacity)
	w.incarnation, w.sequence, w.reported = r.Incarnation, r.Sequence, now
	w.Ready, w.Capacity, w.draining = r.Ready, r.Capacity, r.Draining
	if r.Ready {
		w.lastReady = now
	}
	if !w.serves(r.Services) {
		w.services = set(r.Services)
	}
	s.applyUsage(w, r)
	s.touch(w)
	s.dirty = true
}

// touch brings a worker's place in the index up to date with its free
// resources.
func (s *Scheduler) touch(w *Worker) {
	if w.bucket != nil {
		w.bucket.remove(w.position)
		w.bucket = nil
		s.freeSlots -= w.counted
	}
	if !w.Ready {
		return
	}
	free := w.free()
	w.bucket = s.index.insert(w.position, bucketKey{free: free, homed: w.homed.Accelerators})
	w.counted = max(free.Slots, 0)
	s.freeSlots += w.counted
}

// serves reports whether the worker's services are exactly those named.
func (w *Worker) serves(names []string) bool {
	unknown := func(v string) bool { return !w.services[v] }
	return len(names) == len(w.services) && !slices.ContainsFunc(names, unknown)
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// applyUsage replaces what other entries use of the worker. What this entry
// uses is known here first and is not taken from the report.
func (s *Scheduler) applyUsage(w *Worker, r WorkerReport) {
	for customer, d := range w.byOthers {
		s.used[customer] = s.used[customer].Sub(d)
	}
	clear(w.byOthers)
	clear(w.inHome)
	w.others = config.Demand{}
	for _, u := range r.Usage {
		d := u.Used.Sub(u.Mine)
		w.byOthers[u.Customer] = w.byOthers[u.Customer].Add(d)
		w.others = w.others.Add(d)
		s.used[u.Customer] = s.used[u.Customer].Add(d)
		if u.Shape != "" {
			use := homeUse{key: plan.HomeKey{Customer: u.Customer, Shape: u.Shape}, guest: u.Guest}
			w.inHome[use] = w.inHome[use].Add(d)
		}
	}
	for j := range w.jobs {
		if use, ok := j.homeUse(); ok {
			w.inHome[use] = w.inHome[use].Add(j.JobShape.Demand)
		}
	}
}

func (s *Scheduler) addWorker(r WorkerReport) *Worker {
	w := &Worker{
		Name:     r.Name,
		Zone:     r.Zone,
		Rack:     r.Rack,
		inHome:   make(map[homeUse]config.Demand),
		byOthers: make(map[string]config.Demand),
		jobs:     make(map[*Job]struct{}),
	}
	s.workers[r.Name] = w
	s.setHomes(w)
	s.sortWorkers()
	return w
}

func (s *Scheduler) sortWorkers() {
	s.order = slices.SortedFunc(maps.Values(s.workers), compareWorkers)
	s.racks = s.racks[:0]
	for start := 0; start < len(s.order); {
		end := start + 1
		for end < len(s.order) && s.order[end].Zone == s.order[start].Zone && s.order[end].Rack == s.order[start].Rack {
			end++
		}
		s.racks = append(s.racks, s.order[start:end])
		start = end
	}
	s.reindex()
}

// reindex makes the index anew after a change of the worker order.
func (s *Scheduler) reindex() {
	s.index.reset(len(s.order))
	s.freeSlots = 0
	position := 0
	for rack, workers := range s.racks {
		for _, w := range workers {
			w.position, w.rack, w.bucket = position, rack, nil
			s.touch(w)
			position++
		}
	}
}

func compareWorkers(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
}

// MarkDown takes a worker out of service, as its closed connection or its leave
// tells.
func (s *Scheduler) MarkDown(name string) {
	s.record(Call{Op: OpMarkDown, Worker: name})
	if w, ok := s.workers[name]; ok {
		w.Ready = false
		s.touch(w)
	}
}

// RemoveStaleWorkers removes workers that have been silent since before the given time and
// run nothing that this entry sent. It returns their names.
func (s *Scheduler) RemoveStaleWorkers(before time.Time) []string {
	s.record(Call{Op: OpRemoveStale, At: before})
	var names []string
	for name, w := range s.workers {
		if w.reported.Before(before) && w.mine.Zero() {
			s.applyUsage(w, WorkerReport{})
			s.total = s.total.Sub(w.Capacity)
			delete(s.workers, name)
			if w.health.ejected {
				s.ejected--
			}
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		s.sortWorkers()
	}
	return names
}

// Fleet returns the workers that a new plan may use: those that do not drain
// and were in service at the given time or later, by this entry's reports or by
// what heard says.
func (s *Scheduler) Fleet(since time.Time, heard func(worker string) bool) []plan.Worker {
	var fleet []plan.Worker
	for _, w := range s.order {
		if w.draining || w.lastReady.Before(since) && !heard(w.Name) {
			continue
		}
		fleet = append(fleet, plan.Worker{Name: w.Name, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	}
	return fleet
}

// TimeSinceReady returns the time since the worker was last known to be in service; ok is
// false if it never was.
func (w *Worker) TimeSinceReady(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(w.lastReady), !w.lastReady.IsZero() && !w.draining
}

// Workers returns the worker table in the global worker order.
func (s *Scheduler) Workers() []*Worker { return s.order }

// Queued returns the number of waiting jobs.
func (s *Scheduler) Queued() int { return s.queued }

// Usable reports whether the worker would be given a task now.
func (s *Scheduler) Usable(w *Worker, now time.Time) bool {
	return w.inService(now) && !w.health.ejected
}

// inService reports whether the worker is ready and its reports are fresh.
func (w *Worker) inService(now time.Time) bool {
	return w.Ready && now.Sub(w.reported) <= ReportTimeout
}

// Ejected reports whether the worker is ejected.
func (w *Worker) Ejected() bool { return w.health.ejected }

// Free returns what can be placed on the worker without preemption.
func (w *Worker) Free() config.Demand { return w.free() }

// Draining reports whether the worker takes no new work because it is to stop.
func (w *Worker) Draining() bool { return w.draining }
