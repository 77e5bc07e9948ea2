package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order in which it was seen.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// write writes record.txt in the folder of the case.
func (r *record) write(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text []byte
	for _, line := range r.lines {
		text = append(text, line...)
		text = append(text, '\n')
	}
	return os.WriteFile(filepath.Join(dir, "record.txt"), text, 0o644)
}
