package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// ReportTimeout is how long after its last report a worker still gets new work.
const ReportTimeout = 2500 * time.Millisecond

// Scheduler is the scheduling state of one entry, the server that queues
// submitted jobs and places them on workers. It is not safe for concurrent use.
type Scheduler struct {
	// Record, if not nil, is called with every call that changes the state.
	Record func(c Call)

	policy           Policy
	cfg              *config.Config
	plan             *plan.Plan
	workers          map[string]*Worker
	sortedWorkers    []*Worker // by zone, rack and name: the global worker order
	racks            [][]*Worker
	index            index
	freeSlots        int       // sum over the indexed workers
	reserved         []*Worker // workers with a reservation
	sortedQueues     []*queue  // in the order of sortQueues
	weights          map[string]int
	weightSum        int
	jobs             map[string]*Job
	queues           map[queueKey]*queue
	deadlines        timeline
	delayed          timeline
	runTimeEstimates map[string]*runTimeEstimate // by service
	bursts           map[string]*burstTracker    // by service
	burstServices    []string                    // keys of bursts, sorted
	usedByCustomer   map[string]config.Demand
	queued           int
	queuedByCustomer map[string]int         // number of waiting jobs
	homes            map[string][]plan.Home // by customer
	totalCapacity    config.Demand
	ejectedCount     int           // number of workers
	pendingFree      config.Demand // held by jobs that are being preempted
	nextWake         time.Time     // earliest tick requested by wakeAt; zero for none
	dirty            bool          // the next tick must look at the queues
}

// New returns a scheduler without configuration, workers or jobs.
func New(p Policy) *Scheduler {
	s := &Scheduler{
		policy:           p,
		cfg:              &config.Config{Limits: config.DefaultLimits()},
		plan:             &plan.Plan{},
		workers:          make(map[string]*Worker),
		jobs:             make(map[string]*Job),
		queues:           make(map[queueKey]*queue),
		runTimeEstimates: make(map[string]*runTimeEstimate),
		bursts:           make(map[string]*burstTracker),
		usedByCustomer:   make(map[string]config.Demand),
		queuedByCustomer: make(map[string]int),
		homes:            make(map[string][]plan.Home),
	}
	s.deadlines = timeline{
		at:    func(j *Job) time.Time { return j.Deadline },
		index: func(j *Job) *int { return &j.deadlineIndex },
	}
	s.delayed = timeline{
		at:    func(j *Job) time.Time { return j.notBefore },
		index: func(j *Job) *int { return &j.delayIndex },
	}
	return s
}

// SetConfig replaces the configuration for new and waiting jobs.
func (s *Scheduler) SetConfig(cfg *config.Config) {
	s.record(Call{Op: OpConfig, Config: cfg})
	s.cfg = cfg
	for key, q := range s.queues {
		if v := cfg.Service(key.service); v != nil {
			q.class = priorityClass(v.Priority)
		}
	}
	s.sortQueues()
	s.weights, s.weightSum = make(map[string]int, len(cfg.Customers)), 0
	for _, c := range cfg.Customers {
		s.weights[c.Name] = c.Weight
		s.weightSum += c.Weight
	}
	s.dirty = true
}

// SetPlan replaces the plan that binds homes to workers.
func (s *Scheduler) SetPlan(p *plan.Plan) {
	s.record(Call{Op: OpPlan, Plan: p})
	s.plan = p
	s.homes = make(map[string][]plan.Home)
	for _, h := range p.Homes {
		s.homes[h.Customer] = append(s.homes[h.Customer], h)
	}
	for _, w := range s.workers {
		s.setHomes(w)
		s.updateIndex(w)
	}
	s.dirty = true
}

func (s *Scheduler) setHomes(w *Worker) {
	w.homes = s.plan.HomesOnWorker(w.Name)
	w.homeDemand = config.Demand{}
	for _, d := range w.homes {
		w.homeDemand = w.homeDemand.Add(d)
	}
}

// Report updates a worker from its agent's report. Reports from an older
// incarnation, and reports that arrive out of order, are ignored.
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
	s.totalCapacity = s.totalCapacity.Sub(w.Capacity).Add(r.Capacity)
	w.incarnation, w.sequence, w.lastReport = r.Incarnation, r.Sequence, now
	w.Ready, w.Capacity, w.draining = r.Ready, r.Capacity, r.Draining
	if r.Ready {
		w.lastReady = now
	}
	if !w.hasServices(r.Services) {
		w.services = toSet(r.Services)
	}
	s.applyUsage(w, r)
	s.updateIndex(w)
	s.dirty = true
}

// updateIndex moves a worker to the index bucket of its free resources.
func (s *Scheduler) updateIndex(w *Worker) {
	if w.bucket != nil {
		w.bucket.remove(w.position)
		w.bucket = nil
		s.freeSlots -= w.countedSlots
	}
	if !w.Ready {
		return
	}
	free := w.free()
	w.bucket = s.index.insert(w.position, bucketKey{free: free, homeAccelerators: w.homeDemand.Accelerators})
	w.countedSlots = max(free.Slots, 0)
	s.freeSlots += w.countedSlots
}

// hasServices reports whether the worker offers exactly the named services.
func (w *Worker) hasServices(names []string) bool {
	missing := func(v string) bool { return !w.services[v] }
	return len(names) == len(w.services) && !slices.ContainsFunc(names, missing)
}

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// applyUsage updates from a report what other entries' tasks use of the worker.
// This entry's own usage is not taken from the report, since the scheduler knows
// it sooner.
func (s *Scheduler) applyUsage(w *Worker, r WorkerReport) {
	for customer, d := range w.othersByCustomer {
		s.usedByCustomer[customer] = s.usedByCustomer[customer].Sub(d)
	}
	clear(w.othersByCustomer)
	clear(w.usedInHomes)
	w.usedByOthers = config.Demand{}
	for _, u := range r.Usage {
		d := u.Used.Sub(u.Mine)
		w.othersByCustomer[u.Customer] = w.othersByCustomer[u.Customer].Add(d)
		w.usedByOthers = w.usedByOthers.Add(d)
		s.usedByCustomer[u.Customer] = s.usedByCustomer[u.Customer].Add(d)
		if u.Shape != "" {
			use := homeUse{key: plan.HomeKey{Customer: u.Customer, Shape: u.Shape}, guest: u.Guest}
			w.usedInHomes[use] = w.usedInHomes[use].Add(d)
		}
	}
	for j := range w.jobs {
		if use, ok := j.homeUse(); ok {
			w.usedInHomes[use] = w.usedInHomes[use].Add(j.Shape.Demand)
		}
	}
}

func (s *Scheduler) addWorker(r WorkerReport) *Worker {
	w := &Worker{
		Name:             r.Name,
		Zone:             r.Zone,
		Rack:             r.Rack,
		usedInHomes:      make(map[homeUse]config.Demand),
		othersByCustomer: make(map[string]config.Demand),
		jobs:             make(map[*Job]struct{}),
	}
	s.workers[r.Name] = w
	s.setHomes(w)
	s.sortWorkers()
	return w
}

func (s *Scheduler) sortWorkers() {
	s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), compareWorkers)
	s.racks = s.racks[:0]
	for start := 0; start < len(s.sortedWorkers); {
		end := start + 1
		for end < len(s.sortedWorkers) && s.sortedWorkers[end].Zone == s.sortedWorkers[start].Zone && s.sortedWorkers[end].Rack == s.sortedWorkers[start].Rack {
			end++
		}
		s.racks = append(s.racks, s.sortedWorkers[start:end])
		start = end
	}
	s.rebuildIndex()
}

// rebuildIndex rebuilds the index after a change of the worker order.
func (s *Scheduler) rebuildIndex() {
	s.index.reset(len(s.sortedWorkers))
	s.freeSlots = 0
	position := 0
	for rack, workers := range s.racks {
		for _, w := range workers {
			w.position, w.rack, w.bucket = position, rack, nil
			s.updateIndex(w)
			position++
		}
	}
}

func compareWorkers(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
}

// MarkDown takes a worker out of service because its connection closed or it
// announced that it is leaving.
func (s *Scheduler) MarkDown(name string) {
	s.record(Call{Op: OpMarkDown, Worker: name})
	if w, ok := s.workers[name]; ok {
		w.Ready = false
		s.updateIndex(w)
	}
}

// RemoveStaleWorkers removes the workers that last reported before the given
// time and run no tasks of this entry. It returns their names.
func (s *Scheduler) RemoveStaleWorkers(before time.Time) []string {
	s.record(Call{Op: OpRemoveStale, At: before})
	var names []string
	for name, w := range s.workers {
		if w.lastReport.Before(before) && w.usedBySelf.IsZero() {
			s.applyUsage(w, WorkerReport{})
			s.totalCapacity = s.totalCapacity.Sub(w.Capacity)
			delete(s.workers, name)
			if w.health.ejected {
				s.ejectedCount--
			}
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		s.sortWorkers()
	}
	return names
}

// Fleet returns the workers that a new plan may use: those that are not draining
// and were in service at or after the given time, according to this entry's
// reports or to recentlySeen.
func (s *Scheduler) Fleet(since time.Time, recentlySeen func(worker string) bool) []plan.Worker {
	var fleet []plan.Worker
	for _, w := range s.sortedWorkers {
		if w.draining || w.lastReady.Before(since) && !recentlySeen(w.Name) {
			continue
		}
		fleet = append(fleet, plan.Worker{Name: w.Name, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	}
	return fleet
}

// TimeSinceReady returns the time since the worker last reported ready. ok is
// false if it never did or if it is draining.
func (w *Worker) TimeSinceReady(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(w.lastReady), !w.lastReady.IsZero() && !w.draining
}

// Workers returns all known workers in the global worker order.
func (s *Scheduler) Workers() []*Worker { return s.sortedWorkers }

// Queued returns the number of waiting jobs.
func (s *Scheduler) Queued() int { return s.queued }

// Usable reports whether the worker can be given tasks now.
func (s *Scheduler) Usable(w *Worker, now time.Time) bool {
	return w.inService(now) && !w.health.ejected
}

// inService reports whether the worker is ready and its last report is recent.
func (w *Worker) inService(now time.Time) bool {
	return w.Ready && now.Sub(w.lastReport) <= ReportTimeout
}

// Ejected reports whether the worker is ejected because of repeated failures.
func (w *Worker) Ejected() bool { return w.health.ejected }

// Free returns the resources that can be allocated without preemption.
func (w *Worker) Free() config.Demand { return w.free() }

// Draining reports whether the worker takes no new work because it will stop.
func (w *Worker) Draining() bool { return w.draining }
