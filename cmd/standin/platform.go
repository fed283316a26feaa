package main

import (
	"context"
	"net"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// platformCommand runs the stand-in for the platform.
type platformCommand struct {
	Listen string `long:"listen" required:"true" value-name:"ADDRESS" description:"Address of the API and its control calls"`
	VMs    string `long:"vms" value-name:"FILE" description:"File with the initial list of VMs"`
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var vms []platform.VM
	if c.VMs != "" {
		var err error
		if vms, err = platform.ReadVMs(c.VMs); err != nil {
			return err
		}
	}
	p, err := platform.New(platform.Config{VMs: vms, Log: logrus.StandardLogger()})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return p.Serve(ctx, l)
}
