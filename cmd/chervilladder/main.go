// Command chervilladder is the proxy's daemon, which runs on each VM.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/chervilladder/chervilladder/internal/daemon"
	"github.com/chervilladder/chervilladder/internal/logs"
	"github.com/chervilladder/chervilladder/platform"
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// decisionBurst is how many lines with the same message are logged within ten
// seconds before further ones are suppressed. It is high because many lines
// report decisions that an engineer may have to trace.
const decisionBurst = 100

type options struct {
	Settings string          `long:"settings" value-name:"FILE" description:"settings file of this VM"`
	Check    bool            `long:"check-settings" description:"check the settings file and exit"`
	Platform platformCommand `command:"platform" description:"serve callers over the platform's line protocol" long-description:"Serves callers over the platform's line protocol. The settings file is the platform's own; its path is taken from the environment variable CHERVILLADDER_NODE_FILE unless --settings names one."`
}

type platformCommand struct{}

func main() {
	os.Exit(runCommand())
}

// runCommand runs the command that the arguments name until it has ended, and
// returns the exit code.
func runCommand() int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return exitDone
		}
		return exitUsage
	}
	if parser.Active != nil {
		return serveOnPlatform(o)
	}
	return servePostgres(o)
}

// servePostgres serves callers over the PostgreSQL protocol, with a settings file
// in this project's format.
func servePostgres(o options) int {
	if o.Settings == "" {
		return usageError(errors.New("no settings file: name it with --settings"))
	}
	s, err := daemon.ReadSettings(o.Settings)
	if err != nil {
		return usageError(err)
	}
	if o.Check {
		return exitDone
	}
	log, err := logs.New(logs.Config{Output: os.Stderr, Format: s.LogFormat, Level: s.LogLevel})
	if err != nil {
		return usageError(err)
	}
	err = daemon.Run(daemon.Config{Settings: s, Log: log})
	var signal run.SignalError
	if err != nil && !errors.As(err, &signal) {
		log.WithError(err).Error("daemon: stopped")
		return exitFailed
	}
	return exitDone
}

// serveOnPlatform serves callers over the platform's line protocol, with the
// platform's settings file.
func serveOnPlatform(o options) int {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageError(errors.New("no settings file: name it with --settings or " + platform.SettingsVariable))
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return usageError(err)
	}
	if o.Check {
		return exitDone
	}
	logQueue := logs.NewQueue(os.Stdout)
	log, err := logs.New(logs.Config{Output: logQueue, Format: logs.FormatJSON, Level: "info", Burst: decisionBurst})
	if err != nil {
		return usageError(err)
	}
	err = daemon.RunOnPlatform(daemon.PlatformConfig{SettingsPath: path, Settings: s, Log: log, LogQueue: logQueue})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitDone
}

func usageError(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}
