package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// crashExitCode is the exit code of a simulated crash, that of a process killed
// by SIGKILL.
const crashExitCode = 137

// upstreamCommand runs the stand-in for one member of a database group.
type upstreamCommand struct {
	Name           string        `long:"name" required:"true" description:"Name of the member"`
	Listen         string        `long:"listen" required:"true" value-name:"ADDRESS" description:"Address for PostgreSQL"`
	Control        string        `long:"control" required:"true" value-name:"ADDRESS" description:"Address for the control calls over HTTP"`
	GroupListen    string        `long:"group-listen" value-name:"ADDRESS" description:"Address for the other members; by default this member's address in --group"`
	Group          string        `long:"group" value-name:"NAME=ADDRESS,…" description:"Group addresses of all members"`
	Primary        string        `long:"primary" value-name:"NAME" description:"Member that is primary of term 1 of a new group"`
	Slots          int           `long:"slots" default:"3" description:"Statements that may run at the same time"`
	Connections    int           `long:"connections" default:"20" description:"Connections that may be open"`
	Reserved       int           `long:"reserved-connections" default:"3" description:"Additional connections for the reserved user"`
	ReservedUser   string        `long:"reserved-user" default:"chervilladder-control" description:"User of the reserved connections"`
	ConnectDelay   time.Duration `long:"connect-delay" default:"12ms" description:"Time that opening a connection takes"`
	StatementDelay time.Duration `long:"statement-time" default:"1ms" description:"Time that each statement takes"`
	Lag            time.Duration `long:"lag" default:"0s" description:"Delay of replaying the log on a replica"`
	ReceiveLag     time.Duration `long:"receive-lag" default:"0s" description:"Delay of receiving the log on a replica"`
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (c *upstreamCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	addresses, err := group.ParseAddresses(c.Group)
	if err != nil {
		return err
	}
	u, err := upstream.New(upstream.Config{
		Name:    chervilladder.UpstreamID(c.Name),
		Group:   addresses,
		Primary: chervilladder.UpstreamID(c.Primary),
		Settings: state.Settings{
			Slots: c.Slots, Connections: c.Connections, Reserved: c.Reserved, ReservedUser: c.ReservedUser,
			ConnectDelay: c.ConnectDelay, StatementDelay: c.StatementDelay, ReplayLag: c.Lag, ReceiveLag: c.ReceiveLag,
		},
		Log: logrus.StandardLogger(),
		Die: func() { os.Exit(crashExitCode) },
	})
	if err != nil {
		return err
	}
	listeners, err := c.listen(addresses)
	if err != nil {
		return err
	}
	return u.Run(ctx, listeners)
}

func (c *upstreamCommand) listen(addresses group.Addresses) (upstream.Listeners, error) {
	groupAddress := c.GroupListen
	if groupAddress == "" {
		groupAddress = string(addresses[chervilladder.UpstreamID(c.Name)])
	}
	if groupAddress == "" {
		groupAddress = "127.0.0.1:0"
	}
	var l upstream.Listeners
	for _, listener := range []struct {
		address string
		target  *net.Listener
	}{{c.Listen, &l.Callers}, {groupAddress, &l.Group}, {c.Control, &l.Control}} {
		var err error
		if *listener.target, err = net.Listen("tcp", listener.address); err != nil {
			return l, err
		}
	}
	return l, nil
}
