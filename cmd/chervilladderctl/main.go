// Command chervilladderctl is the operators' client: it checks, publishes
// and rolls back service files, shows the configuration in force, the status of
// VMs and the error budgets, and drains VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chervilladder/chervilladder/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Config{
		Args: os.Args[1:],
		Out:  os.Stdout,
		Err:  os.Stderr,
		User: os.Getenv("USER"),
	})
	stop()
	os.Exit(int(code))
}
