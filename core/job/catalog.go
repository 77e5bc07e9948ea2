package job

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Catalog holds the queues and customers of one version of the configuration.
type Catalog struct {
	Version    uint64
	Queues     []Queue
	Services   []string          // may repeat a name
	Customers  map[string]string // by token digest
	Guaranteed map[string]int    // accelerators by customer
	BodyLimit  int64             // of a request, in bytes
}

// Queue is an endpoint to which callers submit jobs for one service.
type Queue struct {
	Name      string
	Host      string // host name of the callers' interface; empty matches any
	Prefix    string // path prefix
	Service   string
	Public    bool          // needs no token
	Priority  int           // 0 is the most urgent
	Attempts  int           // the job fails after this many failed runs of one task or gang
	Stretch   float64       // multiple of the expected run time in a job's objective
	Objective time.Duration // fixed part of a job's objective
	Advice    time.Duration // validity of a ticket; 0 if the steps need none
}

// Route returns the queue for a host and path, or nil. The longest matching prefix
// wins.
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

// Customer returns the name of the customer to which a token belongs.
func (c *Catalog) Customer(token string) (string, bool) {
	name, ok := c.Customers[TokenDigest(token)]
	return name, ok
}

// TokenDigest returns the digest that is stored instead of a token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
