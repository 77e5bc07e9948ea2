package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// AnnounceInterval is the interval at which an upstream announces itself.
const AnnounceInterval = 400 * time.Millisecond

// AnnounceExpiry is the time after the last announcement at which an agent
// considers its upstream gone.
const AnnounceExpiry = 1600 * time.Millisecond

const announceTimeout = 300 * time.Millisecond

// Announcer sends an upstream's announcement to its agent every
// AnnounceInterval until it is closed.
type Announcer struct {
	agent        netip.AddrPort
	announcement Announcement
	http         *http.Client
	cancel       context.CancelFunc
	done         chan struct{}
}

// StartAnnouncer starts sending the announcement to the agent.
func StartAnnouncer(agent netip.AddrPort, announcement Announcement) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		agent:        agent,
		announcement: announcement,
		http:         &http.Client{Timeout: announceTimeout, Transport: transport(2)},
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	go a.loop(ctx)
	return a
}

// Done returns a channel that is closed when the announcements have stopped.
func (a *Announcer) Done() <-chan struct{} { return a.done }

// Leave stops the announcements and notifies the agent that the upstream is
// leaving.
func (a *Announcer) Leave(ctx context.Context) error {
	a.Close()
	return a.post(ctx, leavePath)
}

// Close stops the announcements without notifying the agent, as a crash would.
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
		// Errors are ignored: the next announcement makes up for a lost one.
		_ = a.post(ctx, announcePath)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (a *Announcer) post(ctx context.Context, path string) error {
	body, err := json.Marshal(a.announcement)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.agent.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return expectNoContent(a.http, r)
}
