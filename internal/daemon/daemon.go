package daemon

import (
	"context"
	"fmt"
	"syscall"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Config configures a daemon that serves the PostgreSQL protocol.
type Config struct {
	Settings Settings
	Log      *logrus.Logger
}

// actor is a component that runs until its context ends.
type actor interface {
	Run(ctx context.Context) error
}

// Run builds all actors and runs them until one ends or a signal arrives. They
// stop one after the other: the VM announces that it drains, the callers'
// sessions end, the databases are handed over, and only then the others stop.
func Run(c Config) error {
	board := blackboard.New(chervilladder.VM{
		ID:         c.Settings.VM,
		DataCentre: c.Settings.DataCentre,
		Peer:       c.Settings.Peers,
	})
	actors, err := build(c, board)
	if err != nil {
		return err
	}
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	for _, a := range actors {
		add(&g, c.Log, a)
	}
	return g.Run()
}

// add adds an actor to the group. It runs again after a panic. Its interrupt function
// returns once the actor has ended. The group interrupts in the order of adding, so the actors end in
// that order.
func add(g *run.Group, log *logrus.Logger, a actor) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.Add(func() error {
		defer close(done)
		return recovery.Loop(ctx, log, recovery.Part(fmt.Sprintf("%T", a)), a.Run)
	}, func(error) {
		stop()
		<-done
	})
}
