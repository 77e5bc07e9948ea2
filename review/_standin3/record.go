package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// spec says how a stand-in of a worker carries out the work units of a step.
type spec struct {
	dur   time.Duration
	until time.Time // if set, the work ends then
	gang  int       // members
	saves bool
	lasts bool
	fail  func(task string, run int) bool
}

func (s spec) fails(task string, run int) bool { return s.fail != nil && s.fail(task, run) }

type step struct {
	Count                         int
	Cpu, MemMb, Gpu               int    `json:",omitempty"`
	EstimatedMs                   int64  `json:",omitempty"`
	After                         []int  `json:",omitempty"`
	SavesProgress, Gang           bool   `json:",omitempty"`
	SameRack, LongRunning         bool   `json:",omitempty"`
	AntiAffinity, MayMiss         int    `json:",omitempty"`
	Requirements, DataRack, Image string `json:",omitempty"`
	spec                          spec
}

// job is a job as its client knows it.
type job struct {
	Spec        string
	Steps       []*step
	FirstRunMs  int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
	RepeatCount int   `json:",omitempty"`

	id, prefix string
	attempts   int
	sentAt     time.Time
	acceptedAt time.Time // zero if it is not known to be accepted
	unknown    bool      // an attempt had no clear answer
	cancelAt   time.Time // when its cancelling was acknowledged
	cancelSent time.Time
	last       string
}

type runRecord struct {
	task    string
	run     int
	worker  string
	life    int64
	at, end time.Time
	how     string
	notedAt time.Time
	demand  resources
	spec    string
	ckpt    string
}

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	out    *os.File
	began  time.Time
	jobs   map[string]*job
	runs   []*runRecord
	saves  map[string]savedState
	broken []string
	quiet  bool // do not write each start and end
}

type savedState struct {
	owner string // the work unit, or its step if it is a gang's
	done  time.Duration
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{out: f, began: time.Now(), jobs: make(map[string]*job), saves: make(map[string]savedState)}
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write("BROKEN %s", text)
}

// stepOf returns the job and step of a work unit ID.K.STEP.INDEX.
func (r *record) stepOf(task string) (*job, *step) {
	p := strings.Split(task, ".")
	j := r.jobs[p[0]]
	if j == nil || len(p) != 4 {
		return nil, nil
	}
	n, err := strconv.Atoi(p[2])
	if err != nil || n >= len(j.Steps) {
		return nil, nil
	}
	return j, j.Steps[n]
}

func (r *record) specOf(task string) spec {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, s := r.stepOf(task); s != nil {
		return s.spec
	}
	return spec{}
}

func ownerOf(task string, s *step) string {
	if s != nil && s.Gang {
		return task[:strings.LastIndex(task, ".")]
	}
	return task
}

func (r *record) save(task string, done time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, s := r.stepOf(task)
	value := fmt.Sprintf("%016x", 0xbb8_0000_0000+len(r.saves)+1)
	r.saves[value] = savedState{owner: ownerOf(task, s), done: done}
	return value
}

func (r *record) progressOf(value string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saves[value].done
}

func (r *record) started(l *life, c workerCall) *runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &runRecord{task: c.Task, run: c.Run, worker: l.w.name, life: l.born, at: time.Now(), spec: c.Spec, ckpt: c.LastCheckpoint}
	j, s := r.stepOf(c.Task)
	if s != nil {
		x.demand = resources{s.Cpu, s.MemMb, s.Gpu}
		if c.Spec != j.Spec {
			r.breaks("UNASKED", "%s.%d started with another Spec", c.Task, c.Run)
		}
		if c.LastCheckpoint != "" && r.saves[c.LastCheckpoint].owner != ownerOf(c.Task, s) {
			r.breaks("UNASKED", "%s.%d started with a LastCheckpoint of %q", c.Task, c.Run, r.saves[c.LastCheckpoint].owner)
		}
	} else {
		r.breaks("UNASKED", "%s.%d was started, and no client sent it", c.Task, c.Run)
	}
	r.runs = append(r.runs, x)
	if !r.quiet {
		r.write("start %s run %d at %s", c.Task, c.Run, l.w.name)
	}
	return x
}

func (r *record) ended(x *runRecord, how string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.end, x.how = time.Now(), how
	if !r.quiet {
		r.write("end %s run %d at %s: %s (number %d)", x.task, x.run, x.worker, how, n)
	}
}

func (r *record) noted(x *runRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.notedAt.IsZero() {
		x.notedAt = time.Now()
		if !r.quiet {
			r.write("noted %s run %d: %s", x.task, x.run, x.how)
		}
	}
}

// submit hands a job in, at one entry after the other, until an answer is clear.
func (s *system) submit(j *job, first int) bool {
	s.rec.mu.Lock()
	s.rec.jobs[j.id] = j
	j.sentAt = time.Now()
	j.attempts = map[string]int{"/pufi791/": 4, "/lohu930/": 4, "/pule252/": 2}[j.prefix]
	s.rec.mu.Unlock()
	c := newClient()
	for i := range 6 {
		status, text := call(c, "POST", s.front((first+i)%len(s.entries))+j.prefix+j.id, j)
		s.rec.note("POST %s%s at %s: %d %.80s", j.prefix, j.id, s.entries[(first+i)%len(s.entries)].name, status, text)
		s.rec.mu.Lock()
		switch {
		case status/100 == 2:
			j.acceptedAt = time.Now()
		case status == 429 || status == 503:
		default:
			j.unknown = true
		}
		accepted := !j.acceptedAt.IsZero()
		s.rec.mu.Unlock()
		if accepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (s *system) cancel(j *job, first int) {
	c := newClient()
	s.rec.mu.Lock()
	j.cancelSent = time.Now()
	s.rec.mu.Unlock()
	for i := range 6 {
		status, _ := call(c, "DELETE", s.front((first+i)%len(s.entries))+j.prefix+j.id, nil)
		s.rec.note("DELETE %s%s: %d", j.prefix, j.id, status)
		if status/100 == 2 || status == http.StatusGone {
			s.rec.mu.Lock()
			j.cancelAt = time.Now()
			if status == http.StatusGone && !j.acceptedAt.IsZero() {
				s.rec.breaks("LOST", "the cancelling of the accepted job %s was answered with 410", j.id)
			}
			s.rec.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks for a job's state at an entry.
func (s *system) state(c *http.Client, j *job, i int) string {
	status, text := call(c, "GET", s.front(i%len(s.entries))+j.prefix+j.id, nil)
	state := ""
	if status == http.StatusOK {
		state = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(text), `{"State":"`), `"}`)
	} else {
		state = fmt.Sprint(status)
	}
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	if state != j.last {
		s.rec.write("GET %s%s: %s", j.prefix, j.id, state)
		j.last = state
	}
	if status == http.StatusGone && !j.acceptedAt.IsZero() && j.cancelSent.IsZero() && time.Since(j.acceptedAt) > 3*time.Second {
		s.rec.breaks("LOST", "the accepted job %s is answered with 410", j.id)
	}
	return state
}

// await waits until all accepted jobs that can end have ended, and reports those that
// have not.
func (s *system) await(limit time.Duration) {
	c := newClient()
	until := time.Now().Add(limit)
	for {
		open := []string{}
		for _, j := range s.jobList() {
			if j.acceptedAt.IsZero() || j.endless() && j.cancelSent.IsZero() || j.last == "completed" || j.last == "failed" || j.last == "cancelled" {
				continue
			}
			if st := s.state(c, j, 0); st != "completed" && st != "failed" && st != "cancelled" {
				open = append(open, j.id+" "+st)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(until) {
			s.rec.mu.Lock()
			s.rec.breaks("LOST", "%d accepted jobs have not ended: %v", len(open), open[:min(len(open), 5)])
			s.rec.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// waits reports whether no work unit's turn has come.
func (j *job) waits() bool {
	return j.RepeatCount > 0 && time.Now().Before(time.UnixMilli(j.FirstRunMs))
}

func (j *job) endless() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

func (s *system) jobList() []*job {
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	var out []*job
	for _, j := range s.rec.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// judge checks the rules on what has run.
func (r *record) judge(capacity resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byTask := make(map[string][]*runRecord)
	for _, x := range r.runs {
		byTask[x.task] = append(byTask[x.task], x)
	}
	endAt := func(x *runRecord) time.Time {
		if x.end.IsZero() {
			return time.Now()
		}
		return x.end
	}
	twice, overrun := 0, 0
	for task, xs := range byTask {
		j, s := r.stepOf(task)
		if s == nil {
			continue
		}
		if j.acceptedAt.IsZero() && !j.unknown {
			r.breaks("REFUSED", "%s started, and all attempts to hand in %s were rejected", task, j.id)
		}
		for i, a := range xs {
			for _, b := range xs[i+1:] {
				if b.at.Before(endAt(a)) {
					r.breaks("TWICE", "%s run %d at %s started while run %d ran at %s", task, b.run, b.worker, a.run, a.worker)
				}
				if a.how == "done" && !a.notedAt.IsZero() && b.at.After(a.end) {
					if twice++; twice <= 5 {
						r.breaks("TWICE", "%s run %d started at %.3f, though run %d had ended done at %.3f and that end was taken note of at %.3f",
							task, b.run, b.at.Sub(r.began).Seconds(), a.run, a.end.Sub(r.began).Seconds(), a.notedAt.Sub(r.began).Seconds())
					}
				}
			}
		}
		if !s.LongRunning && !s.Gang {
			for _, b := range xs {
				n := 0
				for _, a := range xs {
					if a.how == "failed" && !a.notedAt.IsZero() && a.end.Before(b.at) {
						n++
					}
				}
				if n >= j.attempts {
					r.breaks("BUDGET", "%s run %d started after %d failed runs", task, b.run, n)
				}
			}
		}
		for _, b := range xs {
			if !j.cancelAt.IsZero() && b.at.Sub(j.cancelAt) > 3*time.Second {
				r.breaks("UNASKED", "%s run %d started %.1f s after the cancelling", task, b.run, b.at.Sub(j.cancelAt).Seconds())
			}
			if !j.cancelAt.IsZero() && endAt(b).Sub(j.cancelAt) > 3400*time.Millisecond {
				if overrun++; overrun <= 3 {
					r.breaks("UNASKED", "%s run %d ran until %.1f s after the cancelling was acknowledged (%s)", task, b.run, endAt(b).Sub(j.cancelAt).Seconds(), b.how)
				}
			}
			if j.RepeatCount > 0 {
				k, _ := strconv.Atoi(strings.Split(task, ".")[1])
				due := time.UnixMilli(j.FirstRunMs + int64(k)*j.IntervalMs)
				if due.Sub(b.at) > 250*time.Millisecond {
					r.breaks("ORDER", "%s started %v early", task, due.Sub(b.at))
				}
			}
			for _, n := range s.After {
				p := strings.Split(task, ".")
				r.checkAfter(j, p[0]+"."+p[1]+"."+strconv.Itoa(n), n, b, byTask)
			}
		}
	}
	if overrun > 3 {
		r.breaks("UNASKED", "%d runs in all ran on after the cancelling", overrun)
	}
	if twice > 5 {
		r.breaks("TWICE", "%d work units or runs in all started again after such an end", twice)
	}
	r.checkRoom(capacity, endAt)
}

// checkAfter checks that all work units of an earlier step had ended done.
func (r *record) checkAfter(j *job, prefix string, n int, b *runRecord, byTask map[string][]*runRecord) {
	st := j.Steps[n]
	doneOf := func(task string) bool {
		for _, a := range byTask[task] {
			if a.how == "done" && a.end.Before(b.at) {
				return true
			}
		}
		return false
	}
	done := 0
	for i := range st.Count {
		if doneOf(prefix + "." + strconv.Itoa(i)) {
			done++
		}
	}
	if done < st.Count && (!st.Gang || done == 0) {
		r.breaks("ORDER", "%s started before step %d had ended", b.task, n)
	}
}

func (r *record) checkRoom(capacity resources, endAt func(*runRecord) time.Time) {
	byWorker := make(map[string][]*runRecord)
	for _, x := range r.runs {
		byWorker[x.worker] = append(byWorker[x.worker], x)
	}
	for w, xs := range byWorker {
		for _, b := range xs {
			var u resources
			for _, a := range xs {
				if !a.at.After(b.at) && endAt(a).After(b.at) {
					u.Cpu, u.MemMb, u.Gpu = u.Cpu+a.demand.Cpu, u.MemMb+a.demand.MemMb, u.Gpu+a.demand.Gpu
				}
			}
			if u.Cpu > capacity.Cpu || u.MemMb > capacity.MemMb || u.Gpu > capacity.Gpu {
				r.breaks("LIMIT", "%s run %d brings %s to %v", b.task, b.run, w, u)
				break
			}
		}
	}
}

// finish writes the verdict and returns the exit status.
func (r *record) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) == 0 {
		r.write("no rule is broken")
		fmt.Println("no rule is broken")
		return 0
	}
	for _, b := range r.broken[:min(len(r.broken), 12)] {
		fmt.Println("BROKEN", b)
	}
	return 1
}
