// Package control is the HTTP interface of an upstream stand-in. It injects
// faults, changes settings, and reports the stand-in's status, log and rows.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/slots"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/wire"
)

// help is the list of calls that GET / returns.
const help = `GET  /                                    this list
GET  /status                              role, positions, connections, counts
GET  /log                                 the committed transactions
GET  /rows?table=T                        the rows of a table
POST /partition?on=true|false             cut off from the group; callers can still connect
POST /isolate?on=true|false               cut off from the group and from callers
POST /freeze?on=true|false                all traffic, commits and replay stop; connections are still accepted
POST /silence                             open connections drop all further traffic; new ones work
POST /lag?replay=500ms&receive=0s         delay the replay and the receipt of the log
POST /statement-time?value=5ms            execution time of each statement
POST /connect-delay?value=12ms            time to open a connection
POST /slots?value=1                       number of concurrent statements
POST /connections?value=20                maximum number of open connections
POST /pause-before-answer?value=2s&count=1  delay answers to commits
POST /drop-answer?count=1                 close connections instead of answering commits
POST /die                                 the process exits at once with code 137
`

// Config configures a Server.
type Config struct {
	Board  *state.Board
	DB     *engine.DB
	Keeper *group.Keeper
	Wire   *wire.Server
	Slots  *slots.Queue
	Log    logrus.FieldLogger
	// Die ends the process.
	Die func()
}

// Server answers the control calls.
type Server struct {
	Config
}

// New returns the server of one member.
func New(c Config) (*Server, error) {
	if c.Board == nil || c.DB == nil || c.Keeper == nil || c.Wire == nil || c.Slots == nil || c.Log == nil || c.Die == nil {
		return nil, errors.New("control: every field of Config is required")
	}
	return &Server{Config: c}, nil
}

// Serve serves calls on a listener until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(help)) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.status()) })
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.transactions()) })
	mux.HandleFunc("GET /rows", s.rows)
	mux.HandleFunc("POST /partition", s.setFault(func(f *state.Faults, on bool) { f.Partition = on }))
	mux.HandleFunc("POST /isolate", s.setFault(func(f *state.Faults, on bool) { f.Isolate = on }))
	mux.HandleFunc("POST /freeze", s.setFault(func(f *state.Faults, on bool) { f.Freeze = on }))
	mux.HandleFunc("POST /silence", s.silence)
	mux.HandleFunc("POST /lag", s.setLag)
	mux.HandleFunc("POST /statement-time", s.setDuration(func(x *state.Settings, d time.Duration) { x.StatementDelay = d }))
	mux.HandleFunc("POST /connect-delay", s.setDuration(func(x *state.Settings, d time.Duration) { x.ConnectDelay = d }))
	mux.HandleFunc("POST /slots", s.setNumber(func(x *state.Settings, n int) { x.Slots = n }))
	mux.HandleFunc("POST /connections", s.setNumber(func(x *state.Settings, n int) { x.Connections = n }))
	mux.HandleFunc("POST /pause-before-answer", s.pauseAnswers)
	mux.HandleFunc("POST /drop-answer", s.dropAnswers)
	mux.HandleFunc("POST /die", func(http.ResponseWriter, *http.Request) { s.Die() })
	return s.logPosts(mux)
}

// logPosts logs each call that asks for a change of a fault or setting, before
// the call is checked.
func (s *Server) logPosts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			s.Log.Infof("control: Call received. call=%s", r.URL.RequestURI())
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) setFault(set func(*state.Faults, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		on, err := strconv.ParseBool(r.URL.Query().Get("on"))
		if err != nil {
			fail(w, "on must be true or false")
			return
		}
		s.Board.Faults.Update(func(f *state.Faults) { set(f, on) })
		answer(w, http.StatusOK, s.status())
	}
}

func (s *Server) silence(w http.ResponseWriter, _ *http.Request) {
	n := s.Wire.Silence()
	s.Log.Infof("control: Connections silenced. count=%d", n)
	answer(w, http.StatusOK, s.status())
}

func (s *Server) setLag(w http.ResponseWriter, r *http.Request) {
	replay, err := duration(r, "replay")
	if err != nil {
		fail(w, err.Error())
		return
	}
	receive, err := duration(r, "receive")
	if err != nil {
		fail(w, err.Error())
		return
	}
	s.change(w, func(x *state.Settings) { x.ReplayLag, x.ReceiveLag = replay, receive })
}

func (s *Server) setDuration(set func(*state.Settings, time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d, err := duration(r, "value")
		if err != nil {
			fail(w, err.Error())
			return
		}
		s.change(w, func(x *state.Settings) { set(x, d) })
	}
}

func (s *Server) setNumber(set func(*state.Settings, int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := number(r, "value", 0)
		if err != nil || n < 1 {
			fail(w, "value must be a number of at least 1")
			return
		}
		s.change(w, func(x *state.Settings) { set(x, n) })
	}
}

func (s *Server) change(w http.ResponseWriter, set func(*state.Settings)) {
	next := s.Board.Settings.Update(set)
	s.Slots.SetLimit(next.Slots)
	answer(w, http.StatusOK, s.status())
}

func (s *Server) pauseAnswers(w http.ResponseWriter, r *http.Request) {
	d, err := duration(r, "value")
	if err != nil {
		fail(w, err.Error())
		return
	}
	n, err := number(r, "count", 1)
	if err != nil {
		fail(w, err.Error())
		return
	}
	s.Board.Faults.Update(func(f *state.Faults) { f.PauseAnswers, f.PauseTime = n, d })
	answer(w, http.StatusOK, s.status())
}

func (s *Server) dropAnswers(w http.ResponseWriter, r *http.Request) {
	n, err := number(r, "count", 1)
	if err != nil {
		fail(w, err.Error())
		return
	}
	s.Board.Faults.Update(func(f *state.Faults) { f.DropAnswers = n })
	answer(w, http.StatusOK, s.status())
}

// duration parses a duration in a call's query. A missing one is 0.
func duration(r *http.Request, name string) (time.Duration, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s must be a duration such as 500ms", name)
	}
	return d, nil
}

func number(r *http.Request, name string, fallback int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s must be a number of at least 0", name)
	}
	return n, nil
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// An error means that the HTTP client has closed the connection, and
	// so can't be reported to it.
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, message string) {
	answer(w, http.StatusBadRequest, failure{Error: message})
}

// failure is the answer to a call that failed.
type failure struct {
	Error string `json:"error"`
}
