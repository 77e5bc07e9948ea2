// Package logfmt writes log lines of key=value pairs, one line for each event.
//
// Lines pass through a ring buffer, so that a slow reader of the log never
// blocks a request. Lines that do not fit are dropped and counted.
package logfmt

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const ringLines = 8192

// Logger is a zerolog.Logger with the writer that must be closed to flush it.
type Logger struct {
	zerolog.Logger
	ring diode.Writer
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger to w for lines of at least the given level. Lines that are
// kept back are counted in a line of their own.
func New(w io.Writer, level zerolog.Level) *Logger {
	var b *budget
	ring := diode.NewWriter(console(w), ringLines, 0, func(n int) { b.lost(n) })
	plain := zerolog.New(ring).Level(level).Hook(zerolog.HookFunc(stamp))
	b = newBudget(plain, time.Now)
	return &Logger{Logger: plain.Hook(b), ring: ring}
}

// stamp adds the time, in UTC with milliseconds.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
}

// Close writes out the lines that are left.
func (l *Logger) Close() error { return l.ring.Close() }

// console formats zerolog's events as key=value pairs.
func console(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		FormatTimestamp:  func(v any) string { return pair("time", v) },
		FormatLevel:      func(v any) string { return pair("level", v) },
		FormatMessage:    func(v any) string { return pair("event", v) },
		FormatFieldName:  func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue: quote,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
	}
}

func pair(key string, v any) string { return key + "=" + quote(v) }

// quote quotes a value that holds a space, a quote or an equals sign.
func quote(v any) string {
	if v == nil {
		return `""`
	}
	s := text(v)
	if s == "" || strings.ContainsAny(s, " \"=\n\t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// text formats a value; zerolog passes composite values as JSON.
func text(v any) string {
	if b, ok := v.([]byte); ok {
		return string(b)
	}
	return fmt.Sprint(v)
}
