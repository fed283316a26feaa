// Package logs sets up the logs of a program: their format, and a limit for
// lines that repeat.
package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Format names a format of log lines.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Config configures a logger.
type Config struct {
	Output io.Writer
	Format Format
	// Level is the name of the lowest level that is written.
	Level string
	// RepeatEvery is how often a repeated message is written; zero means
	// DefaultRepeatEvery.
	RepeatEvery time.Duration
	// Burst is how often a message is written before it counts as repeated;
	// zero means DefaultBurst.
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
