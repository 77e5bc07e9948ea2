package operator

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// newConnsPoll is how often the wait for new connections looks at them.
const newConnsPoll = 5 * time.Millisecond

// newConns tracks the connections of a server whose first request has not been read.
type newConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// update follows the state of a connection. It is an http.Server.ConnState.
func (n *newConns) update(c net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state != http.StateNew {
		delete(n.conns, c)
		return
	}
	if n.conns == nil {
		n.conns = make(map[net.Conn]struct{})
	}
	n.conns[c] = struct{}{}
}

// wait returns when the first requests of the connections that are new now have been
// read, or after a limit. Connections that arrive meanwhile do not extend the wait.
func (n *newConns) wait(limit time.Duration) {
	pending := n.list()
	for end := time.Now().Add(limit); n.anyNew(pending) && time.Now().Before(end); {
		time.Sleep(newConnsPoll)
	}
}

func (n *newConns) list() []net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.conns))
}

func (n *newConns) anyNew(conns []net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range conns {
		if _, ok := n.conns[c]; ok {
			return true
		}
	}
	return false
}
