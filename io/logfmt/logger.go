// Package logfmt writes log lines of key=value pairs, one line for each event.
//
// Lines pass through a ring buffer, so that a slow reader of the log never
// blocks a request. Lines that do not fit into it are dropped and counted.
package logfmt

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const ringCapacity = 8192 // lines

// Logger is a zerolog.Logger that must be closed to write its buffered lines.
type Logger struct {
	zerolog.Logger
	ring diode.Writer
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of at least the given level to w. Lines
// over the rate limit of their event are suppressed and counted in an extra line.
func New(w io.Writer, level zerolog.Level) *Logger {
	var limiter *rateLimiter
	ring := diode.NewWriter(newConsoleWriter(w), ringCapacity, 0, func(n int) { limiter.addDropped(n) })
	unlimited := zerolog.New(ring).Level(level).Hook(zerolog.HookFunc(addTimestamp))
	limiter = newRateLimiter(unlimited, time.Now)
	return &Logger{Logger: unlimited.Hook(limiter), ring: ring}
}

// addTimestamp adds the current time in UTC with milliseconds.
func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}

// Close writes the buffered lines.
func (l *Logger) Close() error { return l.ring.Close() }

// newConsoleWriter returns a writer that formats zerolog's events as key=value
// pairs.
func newConsoleWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		FormatTimestamp:  func(v any) string { return formatPair("time", v) },
		FormatLevel:      func(v any) string { return formatPair("level", v) },
		FormatMessage:    func(v any) string { return formatPair("event", v) },
		FormatFieldName:  func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue: quoteValue,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
	}
}

func formatPair(key string, v any) string { return key + "=" + quoteValue(v) }

// quoteValue formats a value. It quotes an empty value and one with whitespace, a
// quote or an equals sign.
func quoteValue(v any) string {
	if v == nil {
		return `""`
	}
	s := formatValue(v)
	if s == "" || strings.ContainsAny(s, " \"=\n\t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// formatValue returns the text of a value; zerolog passes composite values as
// JSON bytes.
func formatValue(v any) string {
	if b, ok := v.([]byte); ok {
		return string(b)
	}
	return fmt.Sprint(v)
}
