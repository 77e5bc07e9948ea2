package config

import (
	"encoding/hex"
	"net/netip"
	"strings"
	"time"
)

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry    Role = "entry"    // accepts requests from callers
	RoleAgent    Role = "agent"    // runs tasks on a worker
	RolePlatform Role = "platform" // stand-in for the platform
	RoleUpstream Role = "upstream" // stand-in for an upstream
	RoleOperator Role = "operator" // command-line client
)

// Settings are the values that a process needs at startup, before it has
// connected to any other process: its own addresses and location, its peers,
// the platform and the shared key.
type Settings struct {
	Role      Role
	Name      string
	Zone      string
	Rack      string
	HTTP      netip.AddrPort
	Control   netip.AddrPort   // to listen on for control connections
	Advertise netip.AddrPort   // control address announced to other processes
	Entries   []netip.AddrPort // control addresses of the entries
	Store     netip.AddrPort   // address of the platform
	SharedKey []byte           // authenticates control connections
	Drain     DrainSettings
	Log       LogSettings
	Trace     TraceSettings
	Upstream  UpstreamSettings
	Operator  OperatorSettings
	Limits    LimitSettings
}

// DrainSettings set the timing of a graceful shutdown.
type DrainSettings struct {
	Notice time.Duration // time between reporting not ready and closing connections
	Limit  time.Duration // upper bound for each step of the drain
}

// LimitSettings are what a process may use of its VM. 0 means the default.
type LimitSettings struct {
	Memory int64 // bytes
	Files  int   // open descriptors
}

// Bounds of the limits. With less, a process cannot serve its own connections.
const (
	minMemory = 64 << 20 // bytes
	maxMemory = 1 << 40  // bytes
	minFiles  = 264
)

// LogSettings configure logging.
type LogSettings struct {
	Level string
}

// TraceSettings configure the decision trace of an entry.
type TraceSettings struct {
	MaxCalls int // scheduler calls to record from startup; 0 disables the trace
}

// UpstreamSettings configure an upstream stand-in.
type UpstreamSettings struct {
	Agent            netip.AddrPort // the agent's HTTP address
	Slots            int
	Accelerators     int
	Connections      int
	Services         []string
	RunTime          time.Duration
	StragglerPercent int // percentage of tasks that run StragglerFactor times as long
	StragglerFactor  int
	ErrorPercent     int // percentage of tasks that fail
	Seed             int
}

// OperatorSettings configure the command-line client.
type OperatorSettings struct {
	Entry netip.AddrPort // HTTP address of an entry
	Token string
}

const minKeyBytes = 16 // 32 hexadecimal digits

func addressField(p *netip.AddrPort) field {
	return field{set: func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return &ValueError{Value: v, Reason: "is not an address such as 10.0.0.7:9000"}
		}
		*p = a
		return nil
	}}
}

func addressesField(p *[]netip.AddrPort) field {
	return field{set: func(v string) error {
		for _, text := range strings.Split(v, ",") {
			var a netip.AddrPort
			if err := addressField(&a).set(strings.TrimSpace(text)); err != nil {
				return err
			}
			*p = append(*p, a)
		}
		return nil
	}}
}

func listField(p *[]string) field {
	return field{set: func(v string) error {
		for _, text := range strings.Split(v, ",") {
			if text = strings.TrimSpace(text); text == "" {
				return &ValueError{Value: v, Reason: "holds an empty name"}
			}
			*p = append(*p, strings.TrimSpace(text))
		}
		return nil
	}}
}

func keyField(p *[]byte) field {
	return field{set: func(v string) error {
		key, err := hex.DecodeString(v)
		if err != nil || len(key) < minKeyBytes {
			return &ValueError{Value: "key", Reason: "is not at least 32 hexadecimal digits"}
		}
		*p = key
		return nil
	}}
}

func levelField(p *string) field {
	return field{set: func(v string) error {
		switch v {
		case "debug", "info", "warn", "error":
			*p = v
			return nil
		default:
			return &ValueError{Value: v, Reason: "is none of debug, info, warn, error"}
		}
	}}
}

// ParseSettings parses the settings of a process with the given role. On
// failure it returns a *FaultsError with all faults.
func ParseSettings(role Role, src Source) (*Settings, error) {
	p := &settingsParser{parser: parser{mergedFiles: merge([]Source{src}), cfg: &Config{}}, s: defaultSettings(role)}
	for _, name := range p.order {
		p.parseSettingsSection(p.sections[name])
	}
	p.checkRequired(src.Name)
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, &FaultsError{Faults: p.faults}
	}
	if !p.s.Advertise.IsValid() {
		p.s.Advertise = p.s.Control
	}
	return p.s, nil
}

func defaultSettings(role Role) *Settings {
	return &Settings{
		Role:     role,
		Drain:    DrainSettings{Notice: time.Second, Limit: 30 * time.Second},
		Log:      LogSettings{Level: "info"},
		Upstream: UpstreamSettings{Slots: 8, Connections: 64, RunTime: 10 * time.Millisecond, StragglerFactor: 50},
	}
}

type settingsParser struct {
	parser
	s *Settings
}

func (p *settingsParser) parseSettingsSection(sec *section) {
	s := p.s
	fields := map[string]map[string]field{
		"process": {
			"name":      textField(&s.Name),
			"zone":      textField(&s.Zone),
			"rack":      textField(&s.Rack),
			"http":      addressField(&s.HTTP),
			"control":   addressField(&s.Control),
			"advertise": addressField(&s.Advertise),
		},
		"peers":    {"entries": addressesField(&s.Entries)},
		"store":    {"address": addressField(&s.Store)},
		"security": {"key": keyField(&s.SharedKey)},
		"drain": {
			"notice": durationField(&s.Drain.Notice, 0, time.Hour),
			"limit":  durationField(&s.Drain.Limit, 0, 24*time.Hour),
		},
		"limits": {
			"memory": bytesField(&s.Limits.Memory, minMemory, maxMemory),
			"files":  countField(&s.Limits.Files, minFiles, maxQueue),
		},
		"trace": {"calls": countField(&s.Trace.MaxCalls, 0, maxQueue)},
		"log":   {"level": levelField(&s.Log.Level)},
		"upstream": {
			"agent":             addressField(&s.Upstream.Agent),
			"slots":             countField(&s.Upstream.Slots, 1, maxCount),
			"accelerators":      countField(&s.Upstream.Accelerators, 0, maxCount),
			"connections":       countField(&s.Upstream.Connections, 1, maxCount),
			"services":          listField(&s.Upstream.Services),
			"run_time":          durationField(&s.Upstream.RunTime, 0, maxDuration),
			"straggler_percent": countField(&s.Upstream.StragglerPercent, 0, maxPercent),
			"straggler_times":   countField(&s.Upstream.StragglerFactor, 1, maxCount),
			"error_percent":     countField(&s.Upstream.ErrorPercent, 0, maxPercent),
			"seed":              countField(&s.Upstream.Seed, 0, maxQueue),
		},
		"operator": {
			"entry": addressField(&s.Operator.Entry),
			"token": textField(&s.Operator.Token),
		},
	}
	known, ok := fields[sec.name]
	if !ok {
		p.addFault(sec.file, sec.line, sec.name, "unknown section")
		return
	}
	p.readFields(sec, known)
}

// checkRequired reports the keys that the role requires and the file does not
// set.
func (p *settingsParser) checkRequired(file string) {
	s := p.s
	requiredKeys := map[Role][]string{
		RoleEntry:    {"process.name", "process.zone", "process.http", "process.control", "store.address", "security.key"},
		RoleAgent:    {"process.name", "process.zone", "process.rack", "process.http", "process.control", "peers.entries", "store.address", "security.key"},
		RolePlatform: {"process.http"},
		RoleUpstream: {"process.http", "upstream.agent", "upstream.services"},
	}
	for _, required := range requiredKeys[s.Role] {
		name, key, _ := strings.Cut(required, ".")
		sec := p.sections[name]
		line := 1
		if sec != nil {
			line = sec.line
			if _, ok := sec.keys[key]; ok {
				continue
			}
		}
		p.addFault(file, line, required, "missing for role %s", s.Role)
	}
}
