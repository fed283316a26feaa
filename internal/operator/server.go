// Package operator serves the operators' HTTP API of one VM: its status,
// health, counters and error budgets, and the request to drain it.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The limits of the HTTP server: requests have no body.
const (
	headerTimeout   = 5 * time.Second
	requestTimeout  = 10 * time.Second
	writeTimeout    = 30 * time.Second
	maxHeaderBytes  = 16 << 10
	idleTimeout     = time.Minute
	shutdownTimeout = time.Second
)

// Config configures a Server.
type Config struct {
	Board    *blackboard.Board
	Listener net.Listener
	Log      *logrus.Logger
	// Token authorizes requests that don't come from loopback; if it is
	// empty, those requests are rejected.
	Token Token
	// Drain starts to drain the VM. It returns immediately and may be
	// called again.
	Drain func()
	// Vars holds the counters.
	Vars *expvar.Map
	// Burn reports on the error budgets; nil disables the report.
	Burn chervilladder.Burn
}

// Server serves operators.
type Server struct {
	Config
	http *http.Server
}

// New returns a server that serves once Run is called.
func New(c Config) (*Server, error) {
	if c.Board == nil || c.Listener == nil || c.Log == nil || c.Drain == nil || c.Vars == nil {
		return nil, errors.New("operator: board, listener, log, drain and vars are required")
	}
	s := &Server{Config: c}
	s.http = &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.http.Shutdown(shutdownCtx)
	})
	err := s.http.Serve(s.Listener)
	if !stop() {
		<-done
		return nil
	}
	return fmt.Errorf("operator: serve: %w", err)
}

// Handler returns the handler of the API, which checks the authorization.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	mux.HandleFunc("GET /v1/burn", s.serveBurn)
	mux.HandleFunc("POST /v1/drain", s.serveDrain)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /debug/vars", s.serveVars)
	return s.Token.authorize(mux)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	data, err := json.Marshal(NewStatus(s.Board, time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, data)
}

func (s *Server) serveBurn(w http.ResponseWriter, _ *http.Request) {
	if s.Burn == nil {
		http.Error(w, "this VM keeps no burn report", http.StatusNotFound)
		return
	}
	var report bytes.Buffer
	if err := s.Burn.WriteJSON(&report); err != nil {
		s.Log.WithError(err).Warn("operator: writing the burn report failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, report.Bytes())
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.Log.WithField("operator", r.RemoteAddr).Info("operator: drain requested")
	s.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.Board.Local.Load().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if s.Board.Catalogue.Load() == nil {
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, []byte(s.Vars.String()))
}

func writeJSON(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
