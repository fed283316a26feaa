// Command standin runs a small stand-in for the platform, or for one member of
// a database group, for tests and the demo.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// options are the subcommands.
type options struct {
	Platform platformCommand `command:"platform" description:"Stand in for the platform's object API"`
	Upstream upstreamCommand `command:"upstream" description:"Stand in for one member of a database group"`
}

func main() {
	_, err := flags.NewParser(&options{}, flags.Default).Parse()
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return
	}
	if err != nil {
		os.Exit(1)
	}
}
