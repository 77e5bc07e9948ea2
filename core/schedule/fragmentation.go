package schedule

// Fragmentation returns the largest number of accelerators on entirely free workers
// of one rack, divided by the largest number possible if all free accelerators of
// the fleet were together. 1 means no fragmentation.
func (s *Scheduler) Fragmentation() float64 {
	free, rackSize, largest := 0, 0, 0
	for _, rack := range s.racks {
		whole, size := 0, 0
		for _, w := range rack {
			if !w.Ready {
				continue
			}
			f := w.free().Accelerators
			free += max(f, 0)
			size += w.Capacity.Accelerators
			if f == w.Capacity.Accelerators {
				whole += f
			}
		}
		rackSize = max(rackSize, size)
		largest = max(largest, whole)
	}
	ideal := min(free, rackSize)
	if unit := s.maxWorkerAccelerators(); unit > 0 {
		ideal -= ideal % unit
	}
	if ideal == 0 {
		return 1
	}
	return min(float64(largest)/float64(ideal), 1)
}

// maxWorkerAccelerators returns the number of accelerators of the largest worker.
func (s *Scheduler) maxWorkerAccelerators() int {
	size := 0
	for _, w := range s.sortedWorkers {
		size = max(size, w.Capacity.Accelerators)
	}
	return size
}
