// Package logging provides logs with a fixed prefix for each component, and a
// writer that never blocks its callers.
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Log writes the messages of one component. Messages are short sentences.
type Log struct {
	prefix string
	entry  log.Interface
}

// New returns a log that writes to w. Level is debug, info, warn or error; format is
// text or json. Empty and unknown values mean info and text.
func New(w io.Writer, level, format string) *Log {
	logger := &log.Logger{Handler: logfmt.New(w), Level: log.InfoLevel}
	if format == "json" {
		logger.Handler = json.New(w)
	}
	if parsed, err := log.ParseLevel(level); err == nil {
		logger.Level = parsed
	}
	return &Log{entry: logger}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "") }

// Part returns the log of a component; its messages begin with the component's name.
func (l *Log) Part(name string) *Log { return &Log{prefix: name + ": ", entry: l.entry} }

// With returns a log that adds a field to each message.
func (l *Log) With(field string, value any) *Log {
	return &Log{prefix: l.prefix, entry: l.entry.WithField(field, value)}
}

// Debug writes a message for developers.
func (l *Log) Debug(message string) { l.entry.Debug(l.prefix + message) }

// Info writes a message about normal work.
func (l *Log) Info(message string) { l.entry.Info(l.prefix + message) }

// Warn writes a message about a condition that clears without an operator.
func (l *Log) Warn(message string) { l.entry.Warn(l.prefix + message) }

// Error writes a message about a condition that needs an operator.
func (l *Log) Error(message string) { l.entry.Error(l.prefix + message) }
