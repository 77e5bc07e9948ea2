// Package config defines the operators' configuration (customers and their
// guarantees, shapes, services, limits and the nominal fleet) and the local
// settings of a process.
//
// A configuration is a base file merged with the overlay of one site, both in
// INI. Parse reports every fault with its file and line.
package config

import (
	"slices"
	"time"
)

// Demand is an amount of the resources of one worker.
type Demand struct {
	Slots        int `json:"slots"`
	Accelerators int `json:"accelerators"`
}

// Add returns the sum of d and o.
func (d Demand) Add(o Demand) Demand {
	return Demand{Slots: d.Slots + o.Slots, Accelerators: d.Accelerators + o.Accelerators}
}

// Sub returns the difference of d and o.
func (d Demand) Sub(o Demand) Demand {
	return Demand{Slots: d.Slots - o.Slots, Accelerators: d.Accelerators - o.Accelerators}
}

// Fits reports whether free covers d.
func (d Demand) Fits(free Demand) bool {
	return d.Slots <= free.Slots && d.Accelerators <= free.Accelerators
}

// IsZero reports whether d requests no resources.
func (d Demand) IsZero() bool { return d == Demand{} }

// Scale returns d multiplied by n.
func (d Demand) Scale(n int) Demand {
	return Demand{Slots: d.Slots * n, Accelerators: d.Accelerators * n}
}

// Limits are the bounds on accepted requests, retries and stored answers.
type Limits struct {
	RequestBody    int64         // maximum size of a request body in bytes
	QueueLength    int           // queued requests per entry
	CustomerQueue  int           // queued requests per customer and entry
	MaxTimeout     time.Duration // longest timeout that a caller may request
	Attempts       int           // attempts per request, including the first
	RetryPercent   int           // retries and hedged attempts, in percent of first attempts
	EjectPercent   int           // percentage of the workers that may be ejected
	AnswerLifetime time.Duration // how long an agent keeps a finished answer
}

// Rack is a group of identical, adjacent workers in one zone of the nominal
// fleet.
type Rack struct {
	Name     string
	Zone     string
	Workers  int
	Capacity Demand // per worker
}

// Customer is a tenant with its credentials, fair-share weight and quota.
type Customer struct {
	Name         string
	TokenDigests []string // SHA-256 of each accepted token, in hexadecimal
	Weight       int
	Quota        int // accelerators in use at the same time; 0 means unlimited
	Disabled     bool
}

// Operator is a person or program that may query the system state and drain
// workers.
type Operator struct {
	Name         string
	TokenDigests []string // SHA-256 of each accepted token, in hexadecimal
}

// Shape is the number of distinct workers that a job needs and its demand on
// each of them.
type Shape struct {
	Name     string
	Workers  int
	Demand   Demand // per worker
	SameRack bool
}

// Guarantee entitles a customer to Count concurrent instances of a shape.
type Guarantee struct {
	Customer string
	Shape    string
	Count    int
	Disabled bool
}

// Priority is the scheduling priority of a service.
type Priority string

// Priorities, highest first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Service is a type of request; each request becomes a job of the service's
// shape.
type Service struct {
	Name       string
	Shape      string
	Repeatable bool
	Timeout    time.Duration // for requests that set no timeout
	RunTime    time.Duration // declared run time; only a hint to the scheduler
	Grace      time.Duration // time that a preempted task has to checkpoint before it is stopped
	Priority   Priority
	Disabled   bool
}

// Config is a validated configuration. Its slices are sorted by name.
type Config struct {
	Deployment string
	Limits     Limits
	Racks      []Rack
	Operators  []Operator
	Customers  []Customer
	Shapes     []Shape
	Guarantees []Guarantee
	Services   []Service
}

// Customer returns the customer with the given name, or nil.
func (c *Config) Customer(name string) *Customer {
	return find(c.Customers, func(x *Customer) bool { return x.Name == name })
}

// Shape returns the shape with the given name, or nil.
func (c *Config) Shape(name string) *Shape {
	return find(c.Shapes, func(x *Shape) bool { return x.Name == name })
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	return find(c.Services, func(x *Service) bool { return x.Name == name })
}

// Authenticate returns the enabled customer that owns the token with the given
// digest, or nil. The digest is the SHA-256 of the token in hexadecimal.
func (c *Config) Authenticate(digest string) *Customer {
	return find(c.Customers, func(x *Customer) bool {
		return !x.Disabled && slices.Contains(x.TokenDigests, digest)
	})
}

// AuthenticateOperator returns the operator that owns the token with the given
// digest, or nil.
func (c *Config) AuthenticateOperator(digest string) *Operator {
	return find(c.Operators, func(x *Operator) bool { return slices.Contains(x.TokenDigests, digest) })
}

func find[T any](table []T, match func(*T) bool) *T {
	i := slices.IndexFunc(table, func(x T) bool { return match(&x) })
	if i < 0 {
		return nil
	}
	return &table[i]
}
