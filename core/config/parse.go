package config

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of configuration values.
const (
	maxCount     = 100_000
	maxQueue     = 1_000_000
	maxBodyBytes = 8 << 20 // a request body must fit into one frame
	maxDuration  = 30 * 24 * time.Hour
	minTimeout   = 10 * time.Millisecond
	maxPercent   = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,63}$`)

// DefaultLimits returns the limits that apply where a configuration sets none.
func DefaultLimits() Limits {
	return Limits{
		RequestBody:    4 << 20,
		QueueLength:    10_000,
		CustomerQueue:  4_000,
		MaxTimeout:     24 * time.Hour,
		Attempts:       4,
		RetryPercent:   15,
		EjectPercent:   34,
		AnswerLifetime: 10 * time.Minute,
	}
}

// Parse reads the base file and its overlays; later sources override earlier
// ones. On failure it returns a *FaultsError with all faults.
func Parse(sources ...Source) (*Config, error) {
	p := &parser{mergedFiles: merge(sources), cfg: &Config{Limits: DefaultLimits()}}
	for _, name := range p.order {
		p.parseSection(p.sections[name])
	}
	p.sortTables()
	p.checkReferences()
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, &FaultsError{Faults: p.faults}
	}
	return p.cfg, nil
}

// parser builds a Config from merged files.
type parser struct {
	*mergedFiles
	cfg *Config
}

func (p *parser) parseSection(s *section) {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	switch kind {
	case "deployment":
		p.parseDeployment(s, name)
	case "limits":
		p.parseLimits(s, name)
	case "rack":
		p.parseRack(s, name)
	case "customer":
		p.parseCustomer(s, name)
	case "operator":
		p.parseOperator(s, name)
	case "shape":
		p.parseShape(s, name)
	case "guarantee":
		p.parseGuarantee(s, name)
	case "service":
		p.parseService(s, name)
	default:
		p.addFault(s.file, s.line, s.name, "unknown section")
	}
}

// readFields parses the keys of one section and reports unknown and missing
// keys.
func (p *parser) readFields(s *section, fields map[string]field) {
	for key, e := range s.keys {
		f, ok := fields[key]
		if !ok {
			p.addFault(e.file, e.line, s.name+"."+key, "unknown key")
			continue
		}
		if err := f.set(e.value); err != nil {
			p.addFault(e.file, e.line, s.name+"."+key, "%v", err)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if _, ok := s.keys[key]; !ok && fields[key].required {
			p.addFault(s.file, s.line, s.name+"."+key, "missing")
		}
	}
}

func (p *parser) checkName(s *section, name string) {
	if !namePattern.MatchString(name) {
		p.addFault(s.file, s.line, s.name, "name %q is not 1 to 64 of a-z, 0-9, '-', '_' and '.'", name)
	}
}

func (p *parser) checkNoName(s *section, name string) {
	if name != "" {
		p.addFault(s.file, s.line, s.name, "section takes no name")
	}
}

func (p *parser) parseDeployment(s *section, name string) {
	p.checkNoName(s, name)
	p.readFields(s, map[string]field{"name": requiredField(textField(&p.cfg.Deployment))})
}

func (p *parser) parseLimits(s *section, name string) {
	p.checkNoName(s, name)
	l := &p.cfg.Limits
	p.readFields(s, map[string]field{
		"request_body":    bytesField(&l.RequestBody, 1, maxBodyBytes),
		"queue_length":    countField(&l.QueueLength, 1, maxQueue),
		"customer_queue":  countField(&l.CustomerQueue, 1, maxQueue),
		"max_timeout":     durationField(&l.MaxTimeout, minTimeout, maxDuration),
		"attempts":        countField(&l.Attempts, 1, 16),
		"retry_percent":   countField(&l.RetryPercent, 0, maxPercent),
		"eject_percent":   countField(&l.EjectPercent, 0, maxPercent),
		"answer_lifetime": durationField(&l.AnswerLifetime, time.Second, maxDuration),
	})
}

func (p *parser) parseRack(s *section, name string) {
	p.checkName(s, name)
	r := Rack{Name: name}
	p.readFields(s, map[string]field{
		"zone":         requiredField(textField(&r.Zone)),
		"workers":      requiredField(countField(&r.Workers, 1, maxCount)),
		"slots":        requiredField(countField(&r.Capacity.Slots, 1, maxCount)),
		"accelerators": requiredField(countField(&r.Capacity.Accelerators, 0, maxCount)),
	})
	p.cfg.Racks = append(p.cfg.Racks, r)
}

func (p *parser) parseCustomer(s *section, name string) {
	p.checkName(s, name)
	c := Customer{Name: name, Weight: 1}
	p.readFields(s, map[string]field{
		"token_sha256": digestsField(&c.TokenDigests),
		"weight":       countField(&c.Weight, 1, 1000),
		"quota":        countField(&c.Quota, 0, maxCount),
		"disabled":     boolField(&c.Disabled),
	})
	p.cfg.Customers = append(p.cfg.Customers, c)
}

func (p *parser) parseOperator(s *section, name string) {
	p.checkName(s, name)
	o := Operator{Name: name}
	p.readFields(s, map[string]field{"token_sha256": digestsField(&o.TokenDigests)})
	p.cfg.Operators = append(p.cfg.Operators, o)
}

func (p *parser) parseShape(s *section, name string) {
	p.checkName(s, name)
	sh := Shape{Name: name, Workers: 1, Demand: Demand{Slots: 1}}
	p.readFields(s, map[string]field{
		"workers":      countField(&sh.Workers, 1, 1024),
		"accelerators": requiredField(countField(&sh.Demand.Accelerators, 0, maxCount)),
		"slots":        countField(&sh.Demand.Slots, 1, maxCount),
		"same_rack":    boolField(&sh.SameRack),
	})
	p.cfg.Shapes = append(p.cfg.Shapes, sh)
}

func (p *parser) parseGuarantee(s *section, name string) {
	customer, shape, ok := strings.Cut(name, " ")
	if !ok {
		p.addFault(s.file, s.line, s.name, "section is not [guarantee CUSTOMER SHAPE]")
		return
	}
	g := Guarantee{Customer: customer, Shape: strings.TrimSpace(shape)}
	p.readFields(s, map[string]field{
		"count":    requiredField(countField(&g.Count, 0, maxCount)),
		"disabled": boolField(&g.Disabled),
	})
	p.cfg.Guarantees = append(p.cfg.Guarantees, g)
}

func (p *parser) parseService(s *section, name string) {
	p.checkName(s, name)
	v := Service{Name: name, Timeout: 30 * time.Second, Grace: 2 * time.Second, Priority: Normal}
	p.readFields(s, map[string]field{
		"shape":      requiredField(textField(&v.Shape)),
		"repeatable": requiredField(boolField(&v.Repeatable)),
		"timeout":    durationField(&v.Timeout, minTimeout, maxDuration),
		"run_time":   durationField(&v.RunTime, 0, maxDuration),
		"grace":      durationField(&v.Grace, 0, 10*time.Minute),
		"priority":   priorityField(&v.Priority),
		"disabled":   boolField(&v.Disabled),
	})
	p.cfg.Services = append(p.cfg.Services, v)
}

func (p *parser) sortTables() {
	c := p.cfg
	slices.SortFunc(c.Racks, func(a, b Rack) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Operators, func(a, b Operator) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Shapes, func(a, b Shape) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Guarantees, func(a, b Guarantee) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Shape, b.Shape))
	})
}

// checkReferences checks that the names by which sections refer to each other
// exist.
func (p *parser) checkReferences() {
	if _, ok := p.sections["deployment"]; !ok && len(p.order) > 0 {
		first := p.sections[p.order[0]]
		p.addFault(first.file, 1, "deployment", "missing section")
	}
	for _, g := range p.cfg.Guarantees {
		s := p.sections["guarantee "+g.Customer+" "+g.Shape]
		if p.cfg.Customer(g.Customer) == nil {
			p.addFaultAt(s, "", "no customer %q", g.Customer)
		}
		if p.cfg.Shape(g.Shape) == nil {
			p.addFaultAt(s, "", "no shape %q", g.Shape)
		}
	}
	for _, v := range p.cfg.Services {
		if v.Shape != "" && p.cfg.Shape(v.Shape) == nil {
			p.addFaultAt(p.sections["service "+v.Name], "shape", "no shape %q", v.Shape)
		}
	}
	p.checkSharedTokens()
	p.checkPlaceable()
}

// checkPlaceable reports services whose shape does not fit on the nominal
// fleet: their requests could never run.
func (p *parser) checkPlaceable() {
	if len(p.cfg.Racks) == 0 {
		return
	}
	for _, v := range p.cfg.Services {
		sh := p.cfg.Shape(v.Shape)
		if sh != nil && !v.Disabled && !p.fitsFleet(sh) {
			p.addFaultAt(p.sections["service "+v.Name], "shape", "shape %q fits on no racks", v.Shape)
		}
	}
}

func (p *parser) fitsFleet(sh *Shape) bool {
	total := 0
	for _, r := range p.cfg.Racks {
		if !sh.Demand.Fits(r.Capacity) {
			continue
		}
		if sh.SameRack && r.Workers >= sh.Workers {
			return true
		}
		total += r.Workers
	}
	return !sh.SameRack && total >= sh.Workers
}

// addFaultAt records a fault at the line of a key of s, or at the section
// header if the key is not set.
func (p *parser) addFaultAt(s *section, key, format string, args ...any) {
	if s == nil {
		return
	}
	if e, ok := s.keys[key]; ok {
		p.addFault(e.file, e.line, s.name+"."+key, format, args...)
		return
	}
	p.addFault(s.file, s.line, s.name, format, args...)
}

func (p *parser) checkSharedTokens() {
	owner := make(map[string]string)
	for _, c := range p.cfg.Customers {
		for _, d := range c.TokenDigests {
			if other, ok := owner[d]; ok {
				p.addFaultAt(p.sections["customer "+c.Name], "token_sha256", "token is also that of customer %q", other)
				continue
			}
			owner[d] = c.Name
		}
	}
}

// SectionLocation returns the file and line of a section header, for faults
// that are found after parsing. ok is false if the section does not exist.
func SectionLocation(sources []Source, sectionName string) (file string, line int, ok bool) {
	s, ok := merge(sources).sections[sectionName]
	if !ok {
		return "", 0, false
	}
	return s.file, s.line, true
}
