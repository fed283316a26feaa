// Package caller serves callers over the PostgreSQL protocol.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/burn"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Config configures a Server.
type Config struct {
	Board    *blackboard.Board
	Executor chervilladder.Executor
	// Peers forwards cancel requests to other VMs; nil forwards none.
	Peers    chervilladder.Canceller
	Listener net.Listener
	// Certificates are used for callers that request TLS; nil declines it.
	Certificates *Certificates
	Log          *logrus.Logger
	// StartTimeout bounds the start-up phase of a connection.
	StartTimeout time.Duration
	// IdleTransactionTimeout bounds the wait for the next statement of an
	// open transaction.
	IdleTransactionTimeout time.Duration
	// MaxBatchBytes bounds the size of a batch: what a caller may send
	// before a Sync.
	MaxBatchBytes int
	// WriteTimeout bounds each write of a part of an answer to the caller.
	WriteTimeout time.Duration
	// Burn records outcomes and durations for the error budgets; nil
	// records nothing.
	Burn *burn.Recorder
	// DrainTimeout bounds how long a drain waits for sessions with work in
	// flight.
	DrainTimeout time.Duration
}

// acceptDelay is the pause after a failed accept, for example when the process is out of
// file descriptors.
const acceptDelay = 20 * time.Millisecond

// Server serves callers.
type Server struct {
	Config
	keys     cancelKeys
	sessions sync.WaitGroup
}

// New returns a server. Timeouts and limits that are zero get their defaults.
func New(c Config) (*Server, error) {
	if c.Board == nil || c.Executor == nil || c.Listener == nil || c.Log == nil {
		return nil, errors.New("caller: board, executor, listener and log are required")
	}
	if c.StartTimeout == 0 {
		c.StartTimeout = 10 * time.Second
	}
	if c.IdleTransactionTimeout == 0 {
		c.IdleTransactionTimeout = 10 * time.Second
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = 16 << 20
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = 10 * time.Second
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = 15 * time.Second
	}
	return &Server{Config: c}, nil
}

// Run accepts callers until the context ends, then drains: sessions that are idle
// outside a transaction end immediately, the others once they are.
func (s *Server) Run(ctx context.Context) error {
	sessionsCtx, cancelSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelSessions()
	stop := context.AfterFunc(ctx, func() {
		s.Listener.Close()
		s.keys.interruptAll()
	})
	defer stop()
	err := s.accept(sessionsCtx)
	if ctx.Err() == nil {
		return fmt.Errorf("caller: accept: %w", err)
	}
	s.drain(cancelSessions)
	return nil
}

func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.Log.WithError(err).Warn("caller: accept failed")
			time.Sleep(acceptDelay)
			continue
		}
		s.sessions.Go(func() {
			_ = recovery.Call(s.Log, "caller", func() { s.serve(ctx, conn) }) // the caller's connection is closed
		})
	}
}

// drain waits for the sessions, and closes those that remain after
// DrainTimeout.
func (s *Server) drain(cancelSessions context.CancelFunc) {
	done := make(chan struct{})
	go func() {
		s.sessions.Wait()
		close(done)
	}()
	timeout := time.NewTimer(s.DrainTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
		s.Log.Warn("caller: drain timed out; closing the remaining sessions")
		cancelSessions()
		<-done
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	sess := newSession(s, conn)
	defer func() { sess.conn.Close() }()
	stop := context.AfterFunc(ctx, func() { sess.cutOff(conn) })
	defer stop()
	if err := sess.start(); err != nil {
		sess.sendFatal(err)
		return
	}
	defer s.keys.remove(sess.key)
	sess.run(ctx)
}
