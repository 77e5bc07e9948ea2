package config

import (
	"fmt"
	"slices"
	"strings"
)

// Severity tells whether a configuration with a finding can be published.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"   // the configuration is refused
	SeverityWarning Severity = "warning" // it is accepted, but a part of it has no effect or contradicts another
)

// Finding is a fault with its severity.
type Finding struct {
	Severity Severity `json:"severity"`
	Fault
}

// FindingsOf returns the faults as findings of one severity.
func FindingsOf(severity Severity, faults []Fault) []Finding {
	findings := make([]Finding, len(faults))
	for i, f := range faults {
		findings[i] = Finding{Severity: severity, Fault: f}
	}
	return findings
}

// Warnings returns the entries of a valid configuration that can never take effect
// and the limits that contradict each other, sorted by file and line. The sources are
// those that cfg was parsed from.
//
// Entries that are switched off, by disabled or by a count of 0, and shapes that
// nothing uses are not reported: a base file is shared by sites that use parts of it.
func Warnings(cfg *Config, sources ...Source) []Fault {
	p := &parser{mergedFiles: merge(sources), cfg: cfg}
	p.warnShadowedSections()
	p.warnShadowedOperators()
	p.warnLimits()
	p.warnShapes()
	p.warnRacks()
	p.warnServices()
	p.warnGuarantees()
	p.warnQuotas()
	sortFaults(p.faults)
	return p.faults
}

// findSection returns the section with the given name. Section names that differ only
// in spaces are the same to the parser.
func (p *parser) findSection(name string) *section {
	for _, other := range p.order {
		if normalSectionName(other) == name {
			return p.sections[other]
		}
	}
	return nil
}

func normalSectionName(name string) string { return strings.Join(strings.Fields(name), " ") }

// warnShadowedSections reports sections whose names differ only in spaces. Their keys
// are not merged, and a look-up by name finds only one of the two entries.
func (p *parser) warnShadowedSections() {
	for _, name := range p.order {
		s, first := p.sections[name], p.findSection(normalSectionName(name))
		if s != first {
			p.addFaultAt(s, "", "has the same name as the section at %s:%d, with which it is not merged", first.file, first.line)
		}
	}
}

// warnShadowedOperators reports tokens of an operator that authenticate as another.
func (p *parser) warnShadowedOperators() {
	for _, o := range p.cfg.Operators {
		for _, d := range o.TokenDigests {
			if first := p.cfg.AuthenticateOperator(d); first.Name != o.Name {
				p.addFaultAt(p.findSection("operator "+o.Name), "token_sha256", "token is also that of operator %q, who is found first", first.Name)
			}
		}
	}
}

func (p *parser) warnLimits() {
	l, s := p.cfg.Limits, p.sections["limits"]
	if s == nil {
		return
	}
	if l.CustomerQueue > l.QueueLength {
		key := "customer_queue"
		if _, ok := s.keys[key]; !ok {
			key = "queue_length"
		}
		p.addFaultAt(s, key, "customer_queue of %d is above queue_length of %d, so it is never reached", l.CustomerQueue, l.QueueLength)
	}
	workers := 0
	for _, r := range p.cfg.Racks {
		workers += r.Workers
	}
	// Only a written value is reported: the default ejects none of two workers, which is
	// right for a site of that size.
	_, explicit := s.keys["eject_percent"]
	if explicit && l.EjectPercent > 0 && workers > 0 && l.EjectPercent*workers < 100 {
		p.addFaultAt(s, "eject_percent", "%d%% of %d workers is less than one worker, so none is ever ejected", l.EjectPercent, workers)
	}
}

func (p *parser) warnShapes() {
	for _, sh := range p.cfg.Shapes {
		if sh.SameRack && sh.Workers == 1 {
			p.addFaultAt(p.findSection("shape "+sh.Name), "same_rack", "has no effect on a shape of one worker")
		}
	}
}

// enabledServices returns the services that accept requests.
func (p *parser) enabledServices() []Service {
	return slices.DeleteFunc(slices.Clone(p.cfg.Services), func(v Service) bool { return v.Disabled })
}

// warnRacks reports racks whose workers can run no service.
func (p *parser) warnRacks() {
	services := p.enabledServices()
	if len(services) == 0 {
		return
	}
	for _, r := range p.cfg.Racks {
		if !slices.ContainsFunc(services, func(v Service) bool {
			sh := p.cfg.Shape(v.Shape)
			return sh.Demand.Fits(r.Capacity) && (!sh.SameRack || sh.Workers <= r.Workers)
		}) {
			p.addFaultAt(p.findSection("rack "+r.Name), "", "the shape of no enabled service fits on its workers")
		}
	}
}

// warnServices reports services that no customer can use and times that contradict
// each other.
func (p *parser) warnServices() {
	for _, v := range p.enabledServices() {
		s := p.findSection("service " + v.Name)
		if reason := p.noCustomerReason(v); reason != "" {
			p.addFaultAt(s, "shape", "no customer can use the service: %s", reason)
		}
		if v.Timeout > p.cfg.Limits.MaxTimeout {
			p.addFaultAt(s, "timeout", "timeout of %s is above the max_timeout of %s that callers may request", v.Timeout, p.cfg.Limits.MaxTimeout)
		}
		if v.RunTime > v.Timeout {
			p.addFaultAt(s, "run_time", "run_time of %s is above the timeout of %s, so requests that set none end before they are done", v.RunTime, v.Timeout)
		}
	}
}

// noCustomerReason returns why no customer can use the service, or "" if one can.
func (p *parser) noCustomerReason(v Service) string {
	needed, enabled := p.accelerators(v.Shape, 1), 0
	for _, c := range p.cfg.Customers {
		if c.Disabled {
			continue
		}
		if c.Quota == 0 || c.Quota >= needed {
			return ""
		}
		enabled++
	}
	if enabled == 0 {
		return "no customer is enabled"
	}
	return fmt.Sprintf("shape %q needs %d accelerators, which is above the quota of every enabled customer", v.Shape, needed)
}

// accelerators returns the accelerators of n instances of a shape on all their
// workers.
func (p *parser) accelerators(shape string, n int) int {
	sh := p.cfg.Shape(shape)
	return sh.Demand.Scale(sh.Workers * n).Accelerators
}

// warnGuarantees reports guarantees that reserve nothing or that no service can use.
// Guarantees that do not fit on the racks are errors of the plan and not repeated.
func (p *parser) warnGuarantees() {
	services := p.enabledServices()
	for _, g := range p.cfg.Guarantees {
		if g.Disabled || g.Count == 0 {
			continue
		}
		s := p.findSection("guarantee " + g.Customer + " " + g.Shape)
		if p.cfg.Customer(g.Customer).Disabled {
			p.addFaultAt(s, "", "customer %q is disabled, so nothing is reserved", g.Customer)
			continue
		}
		// A home also takes its customer's jobs of other shapes that are no larger.
		home := p.cfg.Shape(g.Shape)
		if !slices.ContainsFunc(services, func(v Service) bool {
			sh := p.cfg.Shape(v.Shape)
			return sh.Workers <= home.Workers && sh.Demand.Fits(home.Demand)
		}) {
			p.addFaultAt(s, "", "no enabled service has a shape that fits into %q, so the reserved workers are never used for it", g.Shape)
		}
	}
}

// warnQuotas reports quotas that are lower than the customer's guarantees or than
// every service needs.
func (p *parser) warnQuotas() {
	services := p.enabledServices()
	for _, c := range p.cfg.Customers {
		if c.Disabled || c.Quota == 0 {
			continue
		}
		s, guaranteed := p.findSection("customer "+c.Name), 0
		for _, g := range p.cfg.Guarantees {
			if g.Customer == c.Name && !g.Disabled {
				guaranteed += p.accelerators(g.Shape, g.Count)
			}
		}
		if guaranteed > c.Quota {
			p.addFaultAt(s, "quota", "quota of %d accelerators is below the %d that the customer is guaranteed", c.Quota, guaranteed)
		}
		if len(services) > 0 && !slices.ContainsFunc(services, func(v Service) bool { return p.accelerators(v.Shape, 1) <= c.Quota }) {
			p.addFaultAt(s, "quota", "quota of %d accelerators is below what each enabled service needs", c.Quota)
		}
	}
}
