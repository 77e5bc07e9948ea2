package schedule

// Fragmentation returns the largest number of accelerators that one rack has
// on wholly free workers, over the largest that the free accelerators of the
// fleet would allow if they lay together: 1 is unfragmented.
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
	if unit := s.workerSize(); unit > 0 {
		ideal -= ideal % unit
	}
	if ideal == 0 {
		return 1
	}
	return min(float64(largest)/float64(ideal), 1)
}

// workerSize returns the accelerators of the largest worker.
func (s *Scheduler) workerSize() int {
	size := 0
	for _, w := range s.order {
		size = max(size, w.Capacity.Accelerators)
	}
	return size
}
