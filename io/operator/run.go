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

// process is a running role, such as an entry or an agent.
type process interface {
	stop() // graceful
	kill() // immediate
}

// reloader is a process that can apply changed settings while it runs.
type reloader interface {
	reload() error
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
	return logfmt.New(env.Stderr, l)
}

// runProcess starts a process and stops it gracefully on SIGTERM or SIGINT. A
// second signal kills it.
func runProcess(log *logfmt.Logger, start func() (process, error)) error {
	defer func() { _ = log.Close() }()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	p, err := start()
	if err != nil {
		return eris.Wrap(err, "start")
	}
	s := waitSignal(log, p, signals, hangups)
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

// waitSignal waits for a signal that stops the process. On SIGHUP it reloads the
// settings.
func waitSignal(log *logfmt.Logger, p process, signals, hangups <-chan os.Signal) os.Signal {
	for {
		select {
		case s := <-signals:
			return s
		case <-hangups:
			reload(log, p)
		}
	}
}

// reload applies changed settings. If they cannot be read, the process keeps the
// current ones.
func reload(log *logfmt.Logger, p process) {
	r, ok := p.(reloader)
	if !ok {
		log.Info().Msg("reload_not_supported")
		return
	}
	if err := r.reload(); err != nil {
		log.Error().Err(err).Msg("reload_failed")
		return
	}
	log.Info().Msg("reloaded")
}
