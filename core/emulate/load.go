package emulate

import (
	"strconv"
	"strings"
	"time"

	"bramleythread/io/wire"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// FieldError tells of a key of a scenario that cannot be read.
type FieldError struct {
	Section string
	Key     string
	Cause   error
}

// Error describes the key.
func (e *FieldError) Error() string { return "[" + e.Section + "] " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// reader reads the keys of one section and keeps the first error.
type reader struct {
	s   *ini.Section
	err error
}

func (r *reader) fail(key string, err error) {
	if err != nil && r.err == nil {
		r.err = &FieldError{Section: r.s.Name(), Key: key, Cause: err}
	}
}

func (r *reader) float(key string) float64 {
	if !r.s.HasKey(key) {
		return 0
	}
	v, err := r.s.Key(key).Float64()
	r.fail(key, err)
	return v
}

func (r *reader) int(key string) int { return int(r.float(key)) }

func (r *reader) duration(key string) time.Duration {
	if !r.s.HasKey(key) {
		return 0
	}
	v, err := time.ParseDuration(r.s.Key(key).String())
	r.fail(key, err)
	return v
}

func (r *reader) ints(key string) []int {
	var list []int
	for _, text := range r.s.Key(key).Strings(",") {
		n, err := strconv.Atoi(text)
		r.fail(key, err)
		list = append(list, n)
	}
	return list
}

// Load reads a scenario from a file in INI.
func Load(path string) (*Scenario, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	s := &Scenario{GuaranteedAccelerators: make(map[string]int)}
	for _, section := range f.Sections() {
		r := &reader{s: section}
		kind, name, _ := strings.Cut(section.Name(), " ")
		switch kind {
		case "scenario":
			readFleet(s, r)
		case "kind":
			s.Kinds = append(s.Kinds, readKind(name, r))
		case "customer":
			s.GuaranteedAccelerators[name] = r.int("guaranteed")
		case "surge":
			s.Surges = append(s.Surges, Surge{Kind: section.Key("kind").String(), At: r.duration("at"), Duration: r.duration("for"), Factor: r.float("factor")})
		case "fault":
			s.Faults = append(s.Faults, Fault{Kind: FaultKind(section.Key("kind").String()), At: r.duration("at"), Duration: r.duration("for"), Count: r.int("count")})
		}
		if r.err != nil {
			return nil, r.err
		}
	}
	if s.Workers == 0 || s.WorkersPerRack == 0 || len(s.Kinds) == 0 {
		return nil, eris.Errorf("%s names no workers or no kinds of request", path)
	}
	return s, nil
}

func readFleet(s *Scenario, r *reader) {
	s.Name, s.TrafficDuration = r.s.Key("name").String(), r.duration("length")
	s.Workers, s.WorkersPerRack = r.int("workers"), r.int("rack")
	s.WorkerCapacity = wire.Resources{CPU: r.int("cpu_millicores"), Memory: r.int("memory_mib"), Accelerators: r.int("accelerators")}
	s.StoreDelay, s.LinkDelay = r.duration("store_delay"), r.duration("link_delay")
	s.StopDelay, s.CheckpointInterval, s.RackFactor = r.duration("stop_time"), r.duration("checkpoint_every"), r.float("rack_factor")
}

func readKind(name string, r *reader) RequestKind {
	return RequestKind{
		Name: name, Priority: r.int("priority"), RequestRate: r.float("per_second"), MeanTasks: r.float("tasks"), MaxTasks: r.int("max_tasks"),
		MeanWork: r.duration("work"), WorkSigma: r.float("spread"), TailShare: r.float("tail"), TailFactor: r.float("tail_factor"),
		Accelerators: r.ints("accelerators"), CPUPerAccelerator: r.int("cpu_millicores"), GangShare: r.float("gang"), SameRackShare: r.float("same_rack"),
		CheckpointShare: r.float("checkpoints"), FailureShare: r.float("fails"), ImpossibleShare: r.float("hopeless"), CancelledShare: r.float("cancelled"),
		Attempts: r.int("attempts"), Stretch: r.float("stretch"), Objective: r.duration("objective"),
		Value: r.float("worth"), LateValue: r.float("late_worth"),
	}
}
