// Package logs configures a program's logger: the format of its lines, a rate
// limit for repeated messages, and a queue that never blocks the writer.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Format names a format of log lines.
type Format string

// FormatText writes key=value lines, FormatJSON one JSON object a line.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Config configures a logger.
type Config struct {
	Output io.Writer
	Format Format
	// Level is the name of the least severe level that is written.
	Level string
	// RepeatEvery is the interval within which at most Burst lines with the
	// same message are written; zero means DefaultRepeatEvery.
	RepeatEvery time.Duration
	// Burst is how many lines with the same message are written per
	// RepeatEvery; zero means DefaultBurst.
	Burst int
}

// New returns a logger.
func New(c Config) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(c.Level)
	if err != nil {
		return nil, fmt.Errorf("logs: %w", err)
	}
	log := logrus.New()
	log.SetOutput(c.Output)
	log.SetLevel(level)
	log.SetFormatter(newLimiter(format(c.Format), c.RepeatEvery, c.Burst))
	return log, nil
}

func format(f Format) logrus.Formatter {
	if f == FormatJSON {
		return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: time.RFC3339Nano}
}
