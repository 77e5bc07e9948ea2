package operator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleTime is how long an idle fleet is measured.
const idleTime = 10 * time.Second

// clockTicksPerSecond is the rate of the ticks in which /proc counts CPU time.
const clockTicksPerSecond = 100

// resourceUsage is what a process has used since it started.
type resourceUsage struct {
	cpu   time.Duration
	bytes int // read and written, including sockets
}

func (c *child) usage(b *testing.B) resourceUsage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	s := resourceUsage{cpu: time.Duration(user+system) * time.Second / clockTicksPerSecond}
	for line := range strings.Lines(readFile(b, fmt.Sprintf("/proc/%d/io", c.cmd.Process.Pid))) {
		name, value, _ := strings.Cut(line, ": ")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && (name == "rchar" || name == "wchar") {
			s.bytes += n
		}
	}
	return s
}

// BenchmarkIdleUsage starts fleets of several sizes and reports the CPU time, I/O and
// memory that an idle entry and an idle agent use. Run it with -benchtime 1x.
func BenchmarkIdleUsage(b *testing.B) {
	for _, n := range []int{9, 51, 201} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			f := startFleet(b, fleetConfig{entries: 1, workers: n, customers: []string{"a"}})
			entry, agent := f.entries[0].usage(b), f.agents[0].usage(b)
			time.Sleep(idleTime)
			f.reportUsage(b, "entry", f.entries[0], entry)
			f.reportUsage(b, "agent", f.agents[0], agent)
			f.stopAll()
		})
	}
}

func (f *fleet) reportUsage(b *testing.B, role string, c *child, before resourceUsage) {
	after := c.usage(b)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/idleTime.Seconds(), role+"-core-%")
	b.ReportMetric(float64(after.bytes-before.bytes)/idleTime.Seconds(), role+"-B/s")
	b.ReportMetric(float64(c.residentBytes())/(1<<20), role+"-MB")
}
