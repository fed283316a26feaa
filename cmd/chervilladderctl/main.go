// Command chervilladderctl is the operators' client: it checks and publishes
// service files, and shows the configuration in force.
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
