package job

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Catalog is what a version of the configuration says of queues and customers.
type Catalog struct {
	Version    uint64
	Queues     []Queue
	Customers  map[string]string // by the digest of a token
	Guaranteed map[string]int    // accelerators by customer
	BodyLimit  int64             // bytes of a request
}

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name      string
	Host      string // of the callers' interface; empty is any
	Prefix    string // of the path
	Service   string
	Public    bool // needs no token
	Priority  int  // 0 goes first
	Attempts  int  // failed runs of a task that end its job
	Stretch   float64
	Objective time.Duration
	Advice    time.Duration // for which a ticket is valid; 0 if its steps need none
}

// Route returns the queue that a host and path select, or nil. The longest
// prefix wins.
func (c *Catalog) Route(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != "" && q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Customer returns the customer of a token.
func (c *Catalog) Customer(token string) (string, bool) {
	name, ok := c.Customers[TokenDigest(token)]
	return name, ok
}

// TokenDigest returns the digest under which a token is kept.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
