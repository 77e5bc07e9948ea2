package logfmt

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	plain := zerolog.New(&out)
	now := time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)
	log := plain.Hook(newBudget(plain, func() time.Time { return now }))
	for range 10 * linesPerSecond {
		log.Info().Msg("place")
	}
	log.Info().Msg("end") // other events are not kept back
	is.Equal(strings.Count(out.String(), `"message":"place"`), linesPerSecond)
	is.Equal(strings.Count(out.String(), `"message":"end"`), 1)
	is.Equal(strings.Count(out.String(), "suppressed"), 0)

	now = now.Add(budgetWindow)
	log.Info().Msg("end")
	is.Equal(strings.Count(out.String(), `"of":"place","lines":1800,"message":"suppressed"`), 1)
	log.Info().Msg("place")
	is.Equal(strings.Count(out.String(), `"message":"place"`), linesPerSecond+1)
}

// slowWriter takes no line until it is let go.
type slowWriter struct{ free chan struct{} }

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.free
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	w := &slowWriter{free: make(chan struct{})}
	l := New(w, zerolog.InfoLevel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * ringLines {
			l.Info().Msg("a")
			l.Info().Msg("b")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("a line has waited for its reader")
	}
	close(w.free)
	_ = l.Close()
}
