// Package trace generates traces, replays them through the scheduling core on a
// virtual clock, and computes measures of the result.
//
// A trace is a file of JSON lines. The first line is the Header, every other
// line is an Event. A workload trace holds arrivals, faults and the bounds that
// the measures of a replay must stay within. A decision trace holds the calls
// that a running entry made to its scheduler and the decisions returned.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
)

// Version is the supported version of the trace format.
const Version = 1

// Kind is the type of a trace.
type Kind string

// Kinds of traces.
const (
	Workload  Kind = "workload"
	Decisions Kind = "decisions"
)

// Class groups services with a similar kind of work; most measures are computed
// per class.
type Class string

// Classes of services.
const (
	Short  Class = "short"
	Long   Class = "long"
	Gang   Class = "gang"
	Urgent Class = "urgent" // short work of urgent priority, covered by a guarantee
)

// Header is the first line of a trace.
type Header struct {
	Version     int              `json:"version"`
	Kind        Kind             `json:"kind"`
	Seed        uint64           `json:"seed"`
	Deployment  string           `json:"deployment"`
	OneWayDelay time.Duration    `json:"one_way_ns"`        // network delay between the entry and the agents
	Classes     map[string]Class `json:"classes,omitempty"` // by service
	Config      string           `json:"config"`            // INI text
}

// EventKind is the type of an event.
type EventKind string

// Kinds of events.
const (
	WorkerUp        EventKind = "worker_up"
	WorkerDown      EventKind = "worker_down"
	WorkerFailing   EventKind = "worker_failing" // every task it starts fails
	WorkerHealed    EventKind = "worker_healed"
	Submit          EventKind = "submit"
	Cancel          EventKind = "cancel"
	ExpectedOutcome EventKind = "outcome" // bounds of a measure of the whole trace
	SchedulerCall   EventKind = "call"    // in decision traces only
)

// Event is a line of a trace after the header. At is the time since the start of
// the trace.
type Event struct {
	At          time.Duration  `json:"at_ns"`
	Kind        EventKind      `json:"event"`
	Worker      string         `json:"worker,omitempty"`
	Zone        string         `json:"zone,omitempty"`
	Rack        string         `json:"rack,omitempty"`
	Capacity    *config.Demand `json:"capacity,omitempty"`
	Services    []string       `json:"services,omitempty"`
	Job         string         `json:"job,omitempty"`
	Customer    string         `json:"customer,omitempty"`
	Service     string         `json:"service,omitempty"`
	RunTime     time.Duration  `json:"run_ns,omitempty"` // actual run time, unknown to the scheduler
	Timeout     time.Duration  `json:"timeout_ns,omitempty"`
	AlwaysFails bool           `json:"fails,omitempty"` // on every worker
	Measure     string         `json:"measure,omitempty"`
	Min         *float64       `json:"min,omitempty"`
	Max         *float64       `json:"max,omitempty"`
	Call        *schedule.Call `json:"call,omitempty"`
}

// Trace is a decoded trace.
type Trace struct {
	Header Header
	Events []Event
}

// FormatError reports a line that cannot be decoded.
type FormatError struct {
	Line   int
	Reason string
}

// Error returns the line number and the reason.
func (e *FormatError) Error() string { return fmt.Sprintf("trace: line %d: %s", e.Line, e.Reason) }

const maxLineBytes = 4 << 20

// Read decodes a trace.
func Read(r io.Reader) (*Trace, error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	t := &Trace{}
	for line := 1; s.Scan(); line++ {
		if err := t.addLine(line, s.Bytes()); err != nil {
			return nil, &FormatError{Line: line, Reason: err.Error()}
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	if t.Header.Version != Version {
		return nil, &FormatError{Line: 1, Reason: fmt.Sprintf("version %d, want %d", t.Header.Version, Version)}
	}
	return t, nil
}

func (t *Trace) addLine(line int, data []byte) error {
	if line == 1 {
		return json.Unmarshal(data, &t.Header)
	}
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

// Write encodes the trace.
func (t *Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ParseConfig parses the configuration in the header.
func (h *Header) ParseConfig() (*config.Config, error) {
	return config.Parse(config.Source{Name: "trace", Text: []byte(h.Config)})
}
