package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// AnnounceInterval is the time between two announcements of an upstream.
const AnnounceInterval = 400 * time.Millisecond

// AnnounceExpiry is the time after the last announcement at which an agent takes
// its upstream for gone.
const AnnounceExpiry = 1600 * time.Millisecond

const announceTimeout = 300 * time.Millisecond

// Announcer repeats an upstream's announcement to its agent until it is
// closed.
type Announcer struct {
	agent  netip.AddrPort
	what   Announcement
	http   *http.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// StartAnnouncer starts to announce what to the agent.
func StartAnnouncer(agent netip.AddrPort, what Announcement) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		agent:  agent,
		what:   what,
		http:   &http.Client{Timeout: announceTimeout, Transport: transport(2)},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go a.loop(ctx)
	return a
}

// Done is closed when the announcements have ended.
func (a *Announcer) Done() <-chan struct{} { return a.done }

// Leave tells the agent that the upstream leaves, and ends the announcements.
func (a *Announcer) Leave(ctx context.Context) error {
	a.Close()
	return a.post(ctx, leavePath)
}

// Close ends the announcements without a word, as a crash would.
func (a *Announcer) Close() {
	a.cancel()
	<-a.done
	a.http.CloseIdleConnections()
}

func (a *Announcer) loop(ctx context.Context) {
	defer close(a.done)
	t := time.NewTicker(AnnounceInterval)
	defer t.Stop()
	for {
		// A lost announcement is repeated by the next one.
		_ = a.post(ctx, announcePath)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Announcer) post(ctx context.Context, path string) error {
	body, err := json.Marshal(a.what)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.agent.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return expectNoContent(a.http, r)
}
