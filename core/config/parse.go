package config

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of the values in a configuration.
const (
	maxCount    = 100_000
	maxQueue    = 1_000_000
	maxSize     = 8 << 20 // bytes; a body travels in one frame
	maxDuration = 30 * 24 * time.Hour
	minTimeout  = 10 * time.Millisecond
	percent     = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,63}$`)

// DefaultLimits returns the limits of a configuration that sets none.
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

// Parse reads the base and its overlays, later ones over earlier ones. It
// returns a *FaultsError with every fault.
func Parse(sources ...Source) (*Config, error) {
	p := &parser{merged: merge(sources), cfg: &Config{Limits: DefaultLimits()}}
	for _, name := range p.order {
		p.section(p.sections[name])
	}
	p.sortTables()
	p.references()
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, &FaultsError{Faults: p.faults}
	}
	return p.cfg, nil
}

// parser fills the tables of a configuration from merged files.
type parser struct {
	*merged
	cfg *Config
}

func (p *parser) section(s *section) {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	switch kind {
	case "deployment":
		p.deployment(s, name)
	case "limits":
		p.limits(s, name)
	case "rack":
		p.rack(s, name)
	case "customer":
		p.customer(s, name)
	case "operator":
		p.operator(s, name)
	case "shape":
		p.shape(s, name)
	case "guarantee":
		p.guarantee(s, name)
	case "service":
		p.service(s, name)
	default:
		p.fault(s.file, s.line, s.name, "unknown section")
	}
}

// read applies the fields of one section and reports unknown and missing keys.
func (p *parser) read(s *section, fields map[string]field) {
	for key, e := range s.keys {
		f, ok := fields[key]
		if !ok {
			p.fault(e.file, e.line, s.name+"."+key, "unknown key")
			continue
		}
		if err := f.set(e.value); err != nil {
			p.fault(e.file, e.line, s.name+"."+key, "%v", err)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		if _, ok := s.keys[key]; !ok && fields[key].required {
			p.fault(s.file, s.line, s.name+"."+key, "missing")
		}
	}
}

func (p *parser) named(s *section, name string) {
	if !namePattern.MatchString(name) {
		p.fault(s.file, s.line, s.name, "name %q is not 1 to 64 of a-z, 0-9, '-', '_' and '.'", name)
	}
}

func (p *parser) unnamed(s *section, name string) {
	if name != "" {
		p.fault(s.file, s.line, s.name, "section takes no name")
	}
}

func (p *parser) deployment(s *section, name string) {
	p.unnamed(s, name)
	p.read(s, map[string]field{"name": must(textField(&p.cfg.Deployment))})
}

func (p *parser) limits(s *section, name string) {
	p.unnamed(s, name)
	l := &p.cfg.Limits
	p.read(s, map[string]field{
		"request_body":    bytesField(&l.RequestBody, 1, maxSize),
		"queue_length":    countField(&l.QueueLength, 1, maxQueue),
		"customer_queue":  countField(&l.CustomerQueue, 1, maxQueue),
		"max_timeout":     durationField(&l.MaxTimeout, minTimeout, maxDuration),
		"attempts":        countField(&l.Attempts, 1, 16),
		"retry_percent":   countField(&l.RetryPercent, 0, percent),
		"eject_percent":   countField(&l.EjectPercent, 0, percent),
		"answer_lifetime": durationField(&l.AnswerLifetime, time.Second, maxDuration),
	})
}

func (p *parser) rack(s *section, name string) {
	p.named(s, name)
	r := Rack{Name: name}
	p.read(s, map[string]field{
		"zone":         must(textField(&r.Zone)),
		"workers":      must(countField(&r.Workers, 1, maxCount)),
		"slots":        must(countField(&r.Capacity.Slots, 1, maxCount)),
		"accelerators": must(countField(&r.Capacity.Accelerators, 0, maxCount)),
	})
	p.cfg.Racks = append(p.cfg.Racks, r)
}

func (p *parser) customer(s *section, name string) {
	p.named(s, name)
	c := Customer{Name: name, Weight: 1}
	p.read(s, map[string]field{
		"token_sha256": digestsField(&c.TokenDigests),
		"weight":       countField(&c.Weight, 1, 1000),
		"quota":        countField(&c.Quota, 0, maxCount),
		"disabled":     boolField(&c.Disabled),
	})
	p.cfg.Customers = append(p.cfg.Customers, c)
}

func (p *parser) operator(s *section, name string) {
	p.named(s, name)
	o := Operator{Name: name}
	p.read(s, map[string]field{"token_sha256": digestsField(&o.TokenDigests)})
	p.cfg.Operators = append(p.cfg.Operators, o)
}

func (p *parser) shape(s *section, name string) {
	p.named(s, name)
	sh := Shape{Name: name, Workers: 1, Demand: Demand{Slots: 1}}
	p.read(s, map[string]field{
		"workers":      countField(&sh.Workers, 1, 1024),
		"accelerators": must(countField(&sh.Demand.Accelerators, 0, maxCount)),
		"slots":        countField(&sh.Demand.Slots, 1, maxCount),
		"same_rack":    boolField(&sh.SameRack),
	})
	p.cfg.Shapes = append(p.cfg.Shapes, sh)
}

func (p *parser) guarantee(s *section, name string) {
	customer, shape, ok := strings.Cut(name, " ")
	if !ok {
		p.fault(s.file, s.line, s.name, "section is not [guarantee CUSTOMER SHAPE]")
		return
	}
	g := Guarantee{Customer: customer, Shape: strings.TrimSpace(shape)}
	p.read(s, map[string]field{
		"count":    must(countField(&g.Count, 0, maxCount)),
		"disabled": boolField(&g.Disabled),
	})
	p.cfg.Guarantees = append(p.cfg.Guarantees, g)
}

func (p *parser) service(s *section, name string) {
	p.named(s, name)
	v := Service{Name: name, Timeout: 30 * time.Second, Grace: 2 * time.Second, Priority: Normal}
	p.read(s, map[string]field{
		"shape":      must(textField(&v.Shape)),
		"repeatable": must(boolField(&v.Repeatable)),
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

// references checks the names that one section holds of another.
func (p *parser) references() {
	if _, ok := p.sections["deployment"]; !ok && len(p.order) > 0 {
		first := p.sections[p.order[0]]
		p.fault(first.file, 1, "deployment", "missing section")
	}
	for _, g := range p.cfg.Guarantees {
		s := p.sections["guarantee "+g.Customer+" "+g.Shape]
		if p.cfg.Customer(g.Customer) == nil {
			p.refer(s, "", "no customer %q", g.Customer)
		}
		if p.cfg.Shape(g.Shape) == nil {
			p.refer(s, "", "no shape %q", g.Shape)
		}
	}
	for _, v := range p.cfg.Services {
		if v.Shape != "" && p.cfg.Shape(v.Shape) == nil {
			p.refer(p.sections["service "+v.Name], "shape", "no shape %q", v.Shape)
		}
	}
	p.sharedTokens()
	p.unplaceable()
}

// unplaceable reports the services whose shape no part of the nominal fleet
// can hold: their requests could never run.
func (p *parser) unplaceable() {
	if len(p.cfg.Racks) == 0 {
		return
	}
	for _, v := range p.cfg.Services {
		sh := p.cfg.Shape(v.Shape)
		if sh != nil && !v.Disabled && !p.fitsFleet(sh) {
			p.refer(p.sections["service "+v.Name], "shape", "shape %q fits on no racks", v.Shape)
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

// refer reports a fault at a key of s, or at its header.
func (p *parser) refer(s *section, key, format string, args ...any) {
	if s == nil {
		return
	}
	if e, ok := s.keys[key]; ok {
		p.fault(e.file, e.line, s.name+"."+key, format, args...)
		return
	}
	p.fault(s.file, s.line, s.name, format, args...)
}

func (p *parser) sharedTokens() {
	owner := make(map[string]string)
	for _, c := range p.cfg.Customers {
		for _, d := range c.TokenDigests {
			if first, ok := owner[d]; ok {
				p.refer(p.sections["customer "+c.Name], "token_sha256", "token is also that of customer %q", first)
				continue
			}
			owner[d] = c.Name
		}
	}
}

// SectionLocation returns where a section of the sources begins, for faults that a later
// check finds. The last return value is false if there is no such section.
func SectionLocation(sources []Source, sectionName string) (file string, line int, ok bool) {
	s, ok := merge(sources).sections[sectionName]
	if !ok {
		return "", 0, false
	}
	return s.file, s.line, true
}
