package operator

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/io/logfmt"
)

// process is a role that runs until it is stopped.
type process interface {
	stop() // planned
	kill() // at once
}

// loadSettings reads the settings file of a role.
func loadSettings(role config.Role, file string) (*config.Settings, error) {
	if file == "" {
		return nil, &UsageError{Reason: "-settings FILE is required"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	return config.ParseSettings(role, config.Source{Name: file, Text: text})
}

func newLogger(env Env, level string) *logfmt.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return logfmt.New(env.Stderr, l, func(int) {})
}

// runProcess starts a process and stops it on a signal. A second signal ends
// the planned stop at once.
func runProcess(log *logfmt.Logger, start func() (process, error)) error {
	defer func() { _ = log.Close() }()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	p, err := start()
	if err != nil {
		return eris.Wrap(err, "start")
	}
	s := <-signals
	log.Info().Str("signal", s.String()).Msg("stopping")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.stop()
	}()
	select {
	case <-stopped:
	case <-signals:
		log.Warn().Msg("stopped_at_once")
		p.kill()
	}
	log.Info().Msg("stopped")
	return nil
}
