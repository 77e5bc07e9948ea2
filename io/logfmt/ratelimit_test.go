package logfmt

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestExcessLinesOfOneEventAreSuppressed(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	unlimited := zerolog.New(&out)
	now := time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)
	log := unlimited.Hook(newRateLimiter(unlimited, func() time.Time { return now }))
	for range 10 * maxLinesPerWindow {
		log.Info().Msg("place")
	}
	log.Info().Msg("end") // the limit of one event does not affect others
	is.Equal(strings.Count(out.String(), `"message":"place"`), maxLinesPerWindow)
	is.Equal(strings.Count(out.String(), `"message":"end"`), 1)
	is.Equal(strings.Count(out.String(), "suppressed"), 0)

	now = now.Add(rateWindow)
	log.Info().Msg("end")
	is.Equal(strings.Count(out.String(), `"of":"place","lines":1800,"message":"suppressed"`), 1)
	log.Info().Msg("place")
	is.Equal(strings.Count(out.String(), `"message":"place"`), maxLinesPerWindow+1)
}

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	l := New(w, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * ringCapacity {
			l.Info().Msg("a")
			l.Info().Msg("b")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocked on a slow writer")
	}
	close(w.unblock)
	_ = l.Close()
}
