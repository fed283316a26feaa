// Command chervilladder is the daemon of an entry VM.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/chervilladder/chervilladder/internal/daemon"
	"github.com/chervilladder/chervilladder/internal/logs"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file of this VM"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
}

func main() {
	os.Exit(start())
}

func start() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return exitDone
		}
		return exitUsage
	}
	s, err := daemon.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.Check {
		return exitDone
	}
	log, err := logs.New(logs.Config{Output: os.Stderr, Format: s.LogFormat, Level: s.LogLevel})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	err = daemon.Run(daemon.Config{Settings: s, Log: log})
	var signal run.SignalError
	if err != nil && !errors.As(err, &signal) {
		log.WithError(err).Error("daemon: stopped")
		return exitFailed
	}
	return exitDone
}
