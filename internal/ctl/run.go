package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Config configures a run of chervilladderctl.
type Config struct {
	// Args are the arguments without the program's name.
	Args []string
	// Out receives the results, Err the errors.
	Out io.Writer
	Err io.Writer
	// User is the operator if neither the command line nor the environment
	// names one.
	User string
}

// globalOptions are the options of all commands.
type globalOptions struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"The format of results"`
}

// console holds what the commands share: context, output and global options.
type console struct {
	ctx    context.Context
	out    io.Writer
	user   string
	global globalOptions
}

// result is the result of a command. Its exported fields are encoded as JSON.
type result interface {
	text() string
}

// show writes a result in the format that --output selects.
func (c *console) show(r result) error {
	if c.global.Output == "text" {
		_, err := io.WriteString(c.out, r.text())
		return err
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// command describes a command to the parser.
type command struct {
	name    string
	short   string
	long    string
	handler flags.Commander
}

// Run runs the command given by the arguments and returns the exit code.
func Run(ctx context.Context, config Config) ExitCode {
	err := run(ctx, config)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, err = fmt.Fprintln(config.Out, usage.Message)
		return exitCode(err)
	}
	if err != nil {
		_, _ = fmt.Fprintln(config.Err, "chervilladderctl:", err)
	}
	return exitCode(err)
}

func run(ctx context.Context, config Config) error {
	c := &console{ctx: ctx, out: config.Out, user: config.User}
	parser := flags.NewNamedParser("chervilladderctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Checks, publishes and rolls back service files, shows the configuration in force, the status of VMs, where requests would go and the error budgets, and drains VMs."
	if _, err := parser.AddGroup("Options of all commands", "", &c.global); err != nil {
		return err
	}
	for _, k := range commands(c) {
		if _, err := parser.AddCommand(k.name, k.short, k.long, k.handler); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(config.Args)
	return err
}

func commands(c *console) []command {
	return []command{
		checkCommand(c),
		publishCommand(c),
		diffCommand(c),
		historyCommand(c),
		rollbackCommand(c),
		statusCommand(c),
		explainCommand(c),
		burnCommand(c),
		drainCommand(c),
	}
}
