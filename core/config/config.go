// Package config holds the operators' configuration: customers, the shapes
// that each is guaranteed, services, limits and the nominal fleet.
//
// A configuration is one base file with the overlay of one site laid over it,
// both in INI. Parse reports every fault with its file and line.
package config

import (
	"slices"
	"time"
)

// Demand is an amount of one worker's resources.
type Demand struct {
	Slots        int `json:"slots"`
	Accelerators int `json:"accelerators"`
}

// Add returns the sum of d and o.
func (d Demand) Add(o Demand) Demand {
	return Demand{Slots: d.Slots + o.Slots, Accelerators: d.Accelerators + o.Accelerators}
}

// Sub returns d less o.
func (d Demand) Sub(o Demand) Demand {
	return Demand{Slots: d.Slots - o.Slots, Accelerators: d.Accelerators - o.Accelerators}
}

// Fits reports whether d can be taken from free.
func (d Demand) Fits(free Demand) bool {
	return d.Slots <= free.Slots && d.Accelerators <= free.Accelerators
}

// IsZero reports whether d asks for nothing.
func (d Demand) IsZero() bool { return d == Demand{} }

// Scale returns n times d.
func (d Demand) Scale(n int) Demand {
	return Demand{Slots: d.Slots * n, Accelerators: d.Accelerators * n}
}

// Limits bound what the system accepts and keeps.
type Limits struct {
	RequestBody    int64         // bytes of a caller's body
	QueueLength    int           // waiting requests in one entry
	CustomerQueue  int           // waiting requests of one customer in one entry
	MaxTimeout     time.Duration // longest deadline that a caller may ask for
	Attempts       int           // attempts at one request, the first included
	RetryPercent   int           // retries and hedges, in percent of first attempts
	EjectPercent   int           // share of the workers that may be ejected
	AnswerLifetime time.Duration // how long an agent keeps a finished answer
}

// Rack is a group of equal, adjacent workers in one zone of the nominal fleet.
type Rack struct {
	Name     string
	Zone     string
	Workers  int
	Capacity Demand // of one worker
}

// Customer is a tenant with its credentials and its share.
type Customer struct {
	Name         string
	TokenDigests []string // SHA-256 of each accepted token, in hexadecimal
	Weight       int
	Quota        int // accelerators in use at once, 0 for no limit
	Disabled     bool
}

// Operator may see the state of the system and drain workers.
type Operator struct {
	Name         string
	TokenDigests []string // SHA-256 of each accepted token, in hexadecimal
}

// Shape is a number of distinct workers and a demand on each.
type Shape struct {
	Name     string
	Workers  int
	Demand   Demand // on each worker
	SameRack bool
}

// Guarantee promises Count instances of a shape to a customer.
type Guarantee struct {
	Customer string
	Shape    string
	Count    int
	Disabled bool
}

// Priority orders the work of services.
type Priority string

// Priorities of a service.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Service turns requests into jobs of one shape.
type Service struct {
	Name       string
	Shape      string
	Repeatable bool
	Timeout    time.Duration // deadline of a request that names none
	RunTime    time.Duration // declared run time, a hint only
	Grace      time.Duration // time to checkpoint before a preempted task stops
	Priority   Priority
	Disabled   bool
}

// Config is a checked configuration. The tables are sorted by name.
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

// Customer returns the customer of that name, or nil.
func (c *Config) Customer(name string) *Customer {
	return find(c.Customers, func(x *Customer) bool { return x.Name == name })
}

// Shape returns the shape of that name, or nil.
func (c *Config) Shape(name string) *Shape {
	return find(c.Shapes, func(x *Shape) bool { return x.Name == name })
}

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service {
	return find(c.Services, func(x *Service) bool { return x.Name == name })
}

// Authenticate returns the customer that accepts a token of this digest, or
// nil. The digest is the SHA-256 of the token in hexadecimal.
func (c *Config) Authenticate(digest string) *Customer {
	return find(c.Customers, func(x *Customer) bool {
		return !x.Disabled && slices.Contains(x.TokenDigests, digest)
	})
}

// AuthenticateOperator returns the operator that accepts a token of this
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
