package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"bramleythread/io/wire"
)

// Times of the case handover.
const (
	killedFor  = 3500 * time.Millisecond // the largest dose of the site
	linkCut    = 650 * time.Millisecond  // in one direction; too short for the link to be given up
	roundTrip  = 11 * time.Millisecond   // between two zones
	frameStart = 14                      // bytes of a frame's header
)

func init() { scenarios["handover"] = scenario{entries: 3, workers: 3, gpus: 8, play: playHandover} }

// link is a proxy between one agent and the entries. It cuts the direction to the agent
// from the first frame on that names a job.
type link struct {
	rec   *record
	job   atomic.Value // string; empty for none
	held  atomic.Bool
	addrs map[string]string // of the proxies, by the address of the entry
}

// newLink puts a proxy before each entry and rewrites the scheduler's lease for the
// agent, so that it dials the proxies.
func newLink(s *system, agent *process) (*link, error) {
	l := &link{rec: s.rec, addrs: make(map[string]string)}
	l.job.Store("")
	for _, p := range s.entries {
		target := strings.Replace(p.front, ":8521", ":7000", 1)
		proxy, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		l.addrs[target] = proxy.Addr().String()
		go l.serve(proxy, target)
	}
	agent.door.view = func(r row) row {
		if r.Table != "scheduler" || r.Tombstone {
			return r
		}
		value, _ := base64.StdEncoding.DecodeString(r.Value)
		var lease wire.SchedulerLease
		if _, err := lease.UnmarshalMsg(value); err != nil {
			return r
		}
		if to := l.addrs[lease.Address.String()]; to != "" {
			_ = lease.Address.UnmarshalText([]byte(to))
			if value, err := lease.MarshalMsg(nil); err == nil {
				r.Value = base64.StdEncoding.EncodeToString(value)
			}
		}
		return r
	}
	return l, nil
}

func (l *link) serve(proxy net.Listener, target string) {
	for {
		agent, err := proxy.Accept()
		if err != nil {
			return
		}
		entry, err := net.Dial("tcp", target)
		if err != nil {
			_ = agent.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(entry, agent)
			_ = entry.Close()
		}()
		go func() {
			l.copyFrames(agent, entry)
			_ = agent.Close()
			_ = entry.Close()
		}()
	}
}

// copyFrames copies frames from an entry to the agent.
func (l *link) copyFrames(agent, entry net.Conn) {
	for {
		frame := make([]byte, frameStart)
		if _, err := io.ReadFull(entry, frame); err != nil {
			return
		}
		frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
		if _, err := io.ReadFull(entry, frame[frameStart:]); err != nil {
			return
		}
		job, _ := l.job.Load().(string)
		hold := job != "" && bytes.Contains(frame, []byte(job)) && l.held.CompareAndSwap(false, true)
		if hold {
			l.rec.add("link: the direction from the scheduler to the agent is cut for %d ms; what is sent meanwhile arrives later", linkCut.Milliseconds())
			time.Sleep(linkCut)
		}
		if _, err := agent.Write(frame); err != nil {
			return
		}
		if hold {
			time.Sleep(roundTrip)
		}
	}
}

// playHandover kills the scheduler when it has just written a placement, and cuts the
// direction from the next scheduler to the agent of that placement's worker for a short
// time. Urgent work comes meanwhile.
func playHandover(s *system, trouble bool) ([]string, error) {
	holder := s.holder()
	if holder == nil {
		return nil, fmt.Errorf("no scheduler")
	}
	at := 0
	for s.entries[at] == holder {
		at++
	}
	l, err := newLink(s, s.agents[2])
	if err != nil {
		return nil, err
	}
	id := newID()
	for i := range 24 { // small work on the same worker, of which some ends every 150 ms
		ms := 600 + 150*i
		small := jobBody(fmt.Sprint(ms, ":certificate"), map[string]any{"Count": 1, "Cpu": 100, "MemMb": 100, "EstimatedMs": ms, "Requirements": "b"})
		if status, _ := s.call(at, "POST", queues[2]+newID(), small, 3*time.Second); status != http.StatusOK {
			return nil, fmt.Errorf("a small job is answered by %d", status)
		}
	}
	filler := jobBody("1000:scan", map[string]any{"Count": 2, "Cpu": 13000, "MemMb": 26000, "Gpu": 8, "EstimatedMs": 1000, "Requirements": "a"})
	if status, _ := s.call(at, "POST", queues[1]+newID(), filler, 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the filling job is answered by %d", status)
	}
	if trouble {
		l.job.Store(id)
		var done atomic.Bool
		s.store.setFault(func(node string, t *transaction) (time.Duration, bool) {
			if node != holder.node || !strings.Contains(describe(t), "progress/"+id) || done.Swap(true) {
				return 0, false
			}
			go func() {
				time.Sleep(time.Millisecond) // the write is done
				_ = holder.cmd.Process.Signal(syscall.SIGKILL)
				_ = holder.cmd.Wait()
				s.rec.add("%s: killed, it has just written %s", holder.node, describe(t))
				time.Sleep(killedFor)
				if err := s.startProcess(holder); err != nil {
					s.rec.say("%v", err)
				}
			}()
			return 0, true
		})
	}
	body := jobBody("12000:certificate", map[string]any{"Count": 1, "Cpu": 2800, "MemMb": 5700, "Gpu": 8, "EstimatedMs": 12000})
	go s.call(at, "POST", queues[2]+id, body, 3*time.Second)
	time.Sleep(200 * time.Millisecond)
	urgent := jobBody("3000:verify", map[string]any{"Count": 1, "Cpu": 3700, "MemMb": 9800, "Gpu": 8, "EstimatedMs": 3000, "Requirements": "b"})
	go s.call(at, "POST", queues[0]+newID(), urgent, 3*time.Second)
	time.Sleep(22 * time.Second)
	return checkTwice(s.rec, s.allRuns(), time.Now()), nil
}
