package emulate

import (
	"strconv"
	"strings"
	"time"

	"bramleythread/io/wire"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// FieldError reports a key of a scenario that cannot be parsed.
type FieldError struct {
	Section string
	Key     string
	Cause   error
}

// Error returns the section, the key and the cause.
func (e *FieldError) Error() string { return "[" + e.Section + "] " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Cause }

// sectionReader parses the keys of a section and keeps the first error.
type sectionReader struct {
	section *ini.Section
	err     error
}

func (r *sectionReader) recordError(key string, err error) {
	if err != nil && r.err == nil {
		r.err = &FieldError{Section: r.section.Name(), Key: key, Cause: err}
	}
}

func (r *sectionReader) float(key string) float64 {
	if !r.section.HasKey(key) {
		return 0
	}
	v, err := r.section.Key(key).Float64()
	r.recordError(key, err)
	return v
}

func (r *sectionReader) int(key string) int { return int(r.float(key)) }

func (r *sectionReader) duration(key string) time.Duration {
	if !r.section.HasKey(key) {
		return 0
	}
	v, err := time.ParseDuration(r.section.Key(key).String())
	r.recordError(key, err)
	return v
}

func (r *sectionReader) ints(key string) []int {
	var list []int
	for _, text := range r.section.Key(key).Strings(",") {
		n, err := strconv.Atoi(text)
		r.recordError(key, err)
		list = append(list, n)
	}
	return list
}

func (r *sectionReader) bool(key string) bool {
	if !r.section.HasKey(key) {
		return false
	}
	v, err := r.section.Key(key).Bool()
	r.recordError(key, err)
	return v
}

func (r *sectionReader) floats(key string) []float64 {
	var list []float64
	for _, text := range r.section.Key(key).Strings(",") {
		v, err := strconv.ParseFloat(text, 64)
		if err == nil && !(v > 0) {
			err = eris.Errorf("%s is not above 0", text)
		}
		r.recordError(key, err)
		list = append(list, v)
	}
	return list
}

// Load reads a scenario from an INI file.
func Load(path string) (*Scenario, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	s := &Scenario{GuaranteedAccelerators: make(map[string]int)}
	for _, section := range f.Sections() {
		r := &sectionReader{section: section}
		kind, name, _ := strings.Cut(section.Name(), " ")
		switch kind {
		case "scenario":
			readScenario(s, r)
		case "kind":
			s.Kinds = append(s.Kinds, readKind(name, r))
		case "customer":
			s.GuaranteedAccelerators[name] = r.int("guaranteed")
		case "surge":
			s.Surges = append(s.Surges, Surge{
				Kind: section.Key("kind").String(), Customer: section.Key("customer").String(),
				At: r.duration("at"), Duration: r.duration("for"), Factor: r.float("factor"),
			})
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

func readScenario(s *Scenario, r *sectionReader) {
	s.Name, s.TrafficDuration = r.section.Key("name").String(), r.duration("length")
	s.Workers, s.WorkersPerRack = r.int("workers"), r.int("rack")
	s.WorkerCapacity = wire.Resources{CPU: r.int("cpu_millicores"), Memory: r.int("memory_mib"), Accelerators: r.int("accelerators")}
	s.Slowness, s.RestoreTime = r.floats("slowness"), r.duration("restore_time")
	s.StopLosesProgress = r.bool("stop_loses_progress")
	s.StoreDelay, s.LinkDelay = r.duration("store_delay"), r.duration("link_delay")
	s.StopDelay, s.CheckpointInterval, s.RackFactor = r.duration("stop_time"), r.duration("checkpoint_every"), r.float("rack_factor")
}

func readKind(name string, r *sectionReader) RequestKind {
	return RequestKind{
		Name: name, Priority: r.int("priority"), RequestRate: r.float("per_second"), MeanTasks: r.float("tasks"), MaxTasks: r.int("max_tasks"),
		MeanWork: r.duration("work"), WorkSigma: r.float("spread"), TaskSigma: r.float("task_sigma"), EstimateSigma: r.float("estimate_sigma"), TailShare: r.float("tail"), TailFactor: r.float("tail_factor"),
		Accelerators: r.ints("accelerators"), CPUPerAccelerator: r.int("cpu_millicores"), CPUPerTask: r.int("task_millicores"), GangShare: r.float("gang"), SameRackShare: r.float("same_rack"),
		CheckpointShare: r.float("checkpoints"), FailureShare: r.float("fails"), ImpossibleShare: r.float("hopeless"), CancelledShare: r.float("cancelled"),
		Attempts: r.int("attempts"), Stretch: r.float("stretch"), Objective: r.duration("objective"),
		Value: r.float("worth"), LateValue: r.float("late_worth"),
	}
}
