package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// Memory of a process, as its settings name it. The platform kills a process that
// exceeds it, and starts it again after a short delay.
const (
	frontMemory  = 284
	sideMemory   = 152
	restartDelay = time.Second
)

// memoryGuard does to the processes what the platform does to those that exceed their
// memory, and counts such ends.
type memoryGuard struct {
	mu    sync.Mutex
	stop  chan struct{}
	done  sync.WaitGroup
	ended map[string]int
	peak  map[string]int
}

func (s *system) guardMemory() *memoryGuard {
	g := &memoryGuard{stop: make(chan struct{}), ended: make(map[string]int), peak: make(map[string]int)}
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		limit := frontMemory
		if p.role == "agent" {
			limit = sideMemory
		}
		g.done.Add(1)
		go func() {
			defer g.done.Done()
			g.watch(s, p, limit)
		}()
	}
	return g
}

func (g *memoryGuard) watch(s *system, p *process, limit int) {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMb(p.cmd.Process.Pid)
		g.mu.Lock()
		g.peak[p.name] = max(g.peak[p.name], mb)
		g.mu.Unlock()
		if mb <= limit {
			continue
		}
		s.rec.note("%s takes %d MB of %d: killed by the platform", p.name, mb, limit)
		p.kill()
		g.mu.Lock()
		g.ended[p.name]++
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(restartDelay):
		}
		p.start()
	}
}

func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := bytes.Fields(data)
	if len(f) < 2 {
		return 0
	}
	n, _ := strconv.Atoi(string(f[1]))
	return n * os.Getpagesize() >> 20
}

// report ends the guard, and checks the rule on processes that end by themselves.
func (g *memoryGuard) report(s *system) {
	close(g.stop)
	g.done.Wait()
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	machines := 0
	for name, mb := range g.peak {
		s.rec.write("%s took %d MB at most and ended %d times over its memory", name, mb, g.ended[name])
		if g.ended[name] >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		s.rec.breaks("FAULT", "on %d machines a process ended three times by itself: %v", machines, g.ended)
	}
}
