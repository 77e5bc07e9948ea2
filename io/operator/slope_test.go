package operator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// slopeTime is how long a fleet is watched at rest.
const slopeTime = 10 * time.Second

// clockTicks is the unit of processor time in /proc, in ticks a second.
const clockTicks = 100

// spent is what a process has used since its start.
type spent struct {
	cpu   time.Duration
	bytes int // read and written, sockets included
}

func (c *child) spent(b *testing.B) spent {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	s := spent{cpu: time.Duration(user+system) * time.Second / clockTicks}
	for line := range strings.Lines(readFile(b, fmt.Sprintf("/proc/%d/io", c.cmd.Process.Pid))) {
		name, value, _ := strings.Cut(line, ": ")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && (name == "rchar" || name == "wchar") {
			s.bytes += n
		}
	}
	return s
}

// BenchmarkSlopes starts fleets of several sizes as real processes and reports
// what an entry and an agent use at rest. Run it with -benchtime 1x.
func BenchmarkSlopes(b *testing.B) {
	for _, n := range []int{9, 51, 201} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			f := startFleet(b, fleetConfig{entries: 1, workers: n, customers: []string{"a"}})
			entry, agent := f.entries[0].spent(b), f.agents[0].spent(b)
			time.Sleep(slopeTime)
			f.report(b, "entry", f.entries[0], entry)
			f.report(b, "agent", f.agents[0], agent)
			f.stopAll()
		})
	}
}

func (f *fleet) report(b *testing.B, role string, c *child, before spent) {
	after := c.spent(b)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/slopeTime.Seconds(), role+"-core-%")
	b.ReportMetric(float64(after.bytes-before.bytes)/slopeTime.Seconds(), role+"-B/s")
	b.ReportMetric(float64(c.resident())/(1<<20), role+"-MB")
}
