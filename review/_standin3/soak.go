package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func drawJob(r *rand.Rand, n int) *job {
	j := &job{Spec: fmt.Sprintf("job %d", n), id: fmt.Sprintf("5c0e7a21%08x", n), prefix: []string{"/pufi791/", "/lohu930/", "/pule252/"}[r.IntN(3)]}
	gpu := []int{1, 2, 4, 8}
	mk := func() *step {
		st := &step{Count: 1 + r.IntN(4), Cpu: 1000 + r.IntN(4000), MemMb: 2000, Gpu: gpu[r.IntN(4)], EstimatedMs: 1000}
		st.spec.dur = time.Duration(200+r.IntN(3000)) * time.Millisecond
		if r.IntN(3) == 0 {
			st.Gang = true
			st.Gpu = gpu[r.IntN(3)]
			st.SameRack = r.IntN(2) == 0
			st.spec.gang = st.Count
		}
		if r.IntN(2) == 0 {
			st.SavesProgress, st.spec.saves = true, true
		}
		if r.IntN(6) == 0 {
			st.AntiAffinity = 1
		}
		return st
	}
	switch r.IntN(8) {
	case 0: // lasts
		st := mk()
		st.Gang, st.SameRack, st.spec.gang = false, false, 0
		st.Gpu = 1
		st.LongRunning, st.spec.lasts, st.spec.dur = true, true, 0
		st.MayMiss = 1
		seed := r.IntN(100)
		st.spec.fail = func(task string, run int) bool { return (len(task)+run+seed)%3 == 0 }
		j.Steps = []*step{st}
	case 1, 2: // repeats
		j.Steps = []*step{mk()}
		j.RepeatCount, j.IntervalMs, j.FirstRunMs = 1+r.IntN(4), int64(500+r.IntN(3000)), time.Now().UnixMilli()+int64(r.IntN(4000))
		if r.IntN(2) == 0 {
			b := mk()
			b.After = []int{0}
			j.Steps = append(j.Steps, b)
		}
	case 3:
		st := mk()
		st.Gang, st.spec.gang = false, 0
		seed := r.IntN(100)
		st.spec.fail = func(task string, run int) bool { return (int(task[len(task)-1])+run+seed)%2 == 0 }
		j.Steps = []*step{st}
	default:
		j.Steps = []*step{mk()}
		for r.IntN(2) == 0 && len(j.Steps) < 3 {
			b := mk()
			b.After = []int{r.IntN(len(j.Steps))}
			j.Steps = append(j.Steps, b)
		}
	}
	return j
}

// soak plays random jobs and faults.
func soak(rec *record, trouble bool) *system {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 3))
	s := newSystem(rec, 3, 5, small)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		cr := rand.New(rand.NewPCG(seed, 4))
		var jw sync.WaitGroup
		for n := 0; ; n++ {
			select {
			case <-stop:
				jw.Wait()
				return
			case <-time.After(time.Duration(500+cr.IntN(1000)) * time.Millisecond):
			}
			j := drawJob(cr, n)
			first, cancel, after := cr.IntN(3), cr.IntN(5) == 0, time.Duration(cr.IntN(4000))*time.Millisecond
			jw.Add(1)
			go func() {
				defer jw.Done()
				s.submit(j, first)
				if cancel {
					time.Sleep(after)
					s.cancel(j, first+1)
				}
			}()
		}
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		c := newClient()
		gr := rand.New(rand.NewPCG(seed, 5))
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if jobs := s.jobList(); len(jobs) > 0 {
				s.state(c, jobs[gr.IntN(len(jobs))], gr.IntN(3))
			}
		}
	}()
	var faults sync.WaitGroup
	locks := make(map[*process]*sync.Mutex)
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		locks[p] = new(sync.Mutex)
	}
	wl := make(map[*worker]*sync.Mutex)
	for _, w := range s.workers {
		wl[w] = new(sync.Mutex)
	}
	for until := time.Now().Add(45 * time.Second); trouble && time.Now().Before(until); {
		d := time.Duration(300+r.IntN(3500)) * time.Millisecond
		p := s.entries[r.IntN(3)]
		if r.IntN(2) == 0 {
			p = s.agents[r.IntN(len(s.agents))]
		}
		w := s.workers[r.IntN(len(s.workers))]
		kind := r.IntN(12)
		x := r.Uint64()
		faults.Add(1)
		go func() {
			defer faults.Done()
			locked := func(f func()) {
				locks[p].Lock()
				defer locks[p].Unlock()
				f()
			}
			switch kind {
			case 0:
				locked(func() { rec.note("FAULT kill %s", p.name); p.restart(d / 4) })
			case 1:
				locked(func() {
					rec.note("FAULT freeze %s %v", p.name, d)
					p.signal(syscall.SIGSTOP)
					time.Sleep(d)
					p.signal(syscall.SIGCONT)
				})
			case 2:
				locked(func() {
					rec.note("FAULT term %s", p.name)
					p.signal(syscall.SIGTERM)
					select {
					case <-p.exited:
					case <-time.After(6 * time.Second):
						rec.note("did not stop in time")
						p.kill()
					}
					p.start()
				})
			case 3:
				rec.note("FAULT store silent for %s %v", p.name, d)
				p.store.mode.Store(modeSilent)
				time.Sleep(d)
				p.store.mode.Store(modeOpen)
			case 4:
				rec.note("FAULT store busy for %s %v", p.name, d)
				p.store.mode.Store(modeBusy)
				time.Sleep(d)
				p.store.mode.Store(modeOpen)
			case 5:
				rec.note("FAULT store down %v", d)
				for _, q := range append(append([]*process{}, s.entries...), s.agents...) {
					q.store.mode.Store(modeSilent)
				}
				time.Sleep(d)
				for _, q := range append(append([]*process{}, s.entries...), s.agents...) {
					q.store.mode.Store(modeOpen)
				}
			case 6, 7:
				rec.note("FAULT late orders at %s %v", w.name, d)
				lr := rand.New(rand.NewPCG(x, 1))
				var mu sync.Mutex
				w.mu.Lock()
				w.late = func(string) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if lr.IntN(2) == 0 {
						return 0
					}
					return time.Duration(2000+lr.IntN(10000)) * time.Millisecond
				}
				w.mu.Unlock()
				time.Sleep(d)
				w.mu.Lock()
				w.late = nil
				w.mu.Unlock()
			case 8, 9:
				if !wl[w].TryLock() {
					return
				}
				defer wl[w].Unlock()
				rec.note("FAULT crash of worker %s, again under its id", w.name)
				w.crash()
				time.Sleep(d / 4)
				w.boot(w.life.id)
			case 10:
				if !wl[w].TryLock() {
					return
				}
				defer wl[w].Unlock()
				rec.note("FAULT new lifetime of worker %s", w.name)
				w.crash()
				time.Sleep(d / 4)
				w.boot(fmt.Sprintf("i-%08x", uint32(x)))
			case 11:
				if !wl[w].TryLock() {
					return
				}
				defer wl[w].Unlock()
				rec.note("FAULT drain of worker %s", w.name)
				w.drain(2*time.Second + d/2)
				time.Sleep(d / 4)
				w.boot(fmt.Sprintf("i-%08x", uint32(x)))
			}
		}()
		time.Sleep(time.Duration(300+r.IntN(1200)) * time.Millisecond)
	}
	faults.Wait()
	if !trouble {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	wg.Wait()
	rec.note("faults and traffic have ended")
	for _, j := range s.jobList() {
		if j.endless() && !j.acceptedAt.IsZero() && j.cancelSent.IsZero() {
			s.cancel(j, 0)
		}
	}
	s.await(45 * time.Second)
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.ended() {
			rec.mu.Lock()
			rec.breaks("FAULT", "%s has ended by itself", p.name)
			rec.mu.Unlock()
		}
	}
	return s
}
