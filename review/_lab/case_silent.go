package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["silent"] = scenario{entries: 3, workers: 3, gpus: 8, play: playSilent} }

// playSilent makes one open channel from the scheduler's machine to the store silent.
// A client then cancels a job of many short steps.
func playSilent(s *system, trouble bool) ([]string, error) {
	var steps []map[string]any
	for i := range 40 {
		step := map[string]any{"Count": 1, "Cpu": 500, "MemMb": 700, "EstimatedMs": 400}
		if i > 0 {
			step["After"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	id := newID()
	if status, _ := s.call(0, "POST", queues[1]+id, jobBody("400:scan", steps...), 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the job is answered by %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	var silent time.Time
	if trouble {
		n := 0
		for try := 0; n == 0 && try < 100; try++ {
			holder := s.holder()
			if holder == nil {
				return nil, fmt.Errorf("no scheduler")
			}
			n = holder.door.silence(func(call string) bool {
				return strings.Contains(call, "rows-feed") && strings.Contains(call, "Table=job")
			})
			time.Sleep(10 * time.Millisecond)
			s.rec.add("%d open channel of %s to the store is silent from now on; new ones work", n, holder.node)
		}
		if n == 0 {
			return nil, fmt.Errorf("no channel to silence")
		}
		silent = time.Now()
		time.Sleep(100 * time.Millisecond)
	}
	status, _ := s.call(1, "DELETE", queues[1]+id, nil, 3*time.Second)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the cancelling is answered by %d", status)
	}
	at := time.Now()
	time.Sleep(12 * time.Second)
	return checkCancelled(s, map[string]time.Time{id: at}, map[string]int{id: status}, silent.Add(contactTime)), nil
}
