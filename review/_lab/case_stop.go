package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case stop.
const (
	stopBudget = 3 * time.Second        // of a request
	lossSlack  = 200 * time.Millisecond // LossSlackMs
	graceTime  = 6 * time.Second        // GraceS
)

func init() { scenarios["stop"] = scenario{entries: 3, workers: 3, gpus: 8, play: playStop} }

// playStop stops one entry by SIGTERM. Clients with open channels to it ask how many jobs
// of a queue have not begun.
func playStop(s *system, trouble bool) ([]string, error) {
	p := s.entries[0]
	if s.holder() == p {
		p = s.entries[1] // not the scheduler
	}
	delays := []time.Duration{500, 1000, 1500, 1700, 1900, 2000, 2100, 2200, 2300, 2400}
	var channels []net.Conn
	for range delays {
		c, err := net.Dial("tcp", p.front)
		if err != nil {
			return nil, err
		}
		channels = append(channels, c)
		if status, _, _ := s.askPending(c); status != http.StatusOK {
			return nil, fmt.Errorf("a count is answered by %d", status)
		}
	}
	term := time.Now()
	if trouble {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		s.rec.add("%s: SIGTERM", p.node)
		time.AfterFunc(graceTime, func() { _ = p.cmd.Process.Signal(syscall.SIGKILL) })
	}
	var mu sync.Mutex
	var breaches []string
	var wg sync.WaitGroup
	for i, c := range channels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(term.Add(delays[i] * time.Millisecond)))
			sent := time.Now()
			status, sentWhole, err := s.askPending(c)
			took := time.Since(sent)
			s.rec.add("client: GET %s at %s, sent %.3f s after the SIGTERM: %d after %.3f s, %v", queues[2], p.node, sent.Sub(term).Seconds(), status, took.Seconds(), err)
			if status == 0 && sentWhole && took > lossSlack && took < stopBudget {
				mu.Lock()
				defer mu.Unlock()
				breaches = append(breaches, fmt.Sprintf("LOST: a request sent %.3f s after the SIGTERM had no answer when its channel ended %.3f s later (%v); its time budget was %.0f s",
					sent.Sub(term).Seconds(), took.Seconds(), err, stopBudget.Seconds()))
			}
		}()
	}
	wg.Wait()
	return breaches, nil
}

// askPending asks for the number of jobs that have not begun on an open channel.
func (s *system) askPending(c net.Conn) (status int, sent bool, err error) {
	_ = c.SetDeadline(time.Now().Add(stopBudget))
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nBramleythread-Credential: %s\r\nBramleythread-Deadline-Ms: %d\r\n\r\n", queues[2], host, key(0), stopBudget.Milliseconds())
	if _, err := c.Write([]byte(text)); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, !strings.Contains(err.Error(), "timeout"), err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, true, nil
}
