package upstream_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/control"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/group"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/state"
)

// waitTimeout bounds every wait of a test.
const waitTimeout = 20 * time.Second

// member is one member that runs in the test's process.
type member struct {
	t         testing.TB
	name      chervilladder.UpstreamID
	config    upstream.Config
	listeners upstream.Listeners
	cancel    context.CancelFunc
	stopped   chan error
}

// settings returns the default settings of members.
func settings() state.Settings {
	return state.Settings{Slots: 3, Connections: 20, Reserved: 2, ReservedUser: "control"}
}

// newGroup starts the members a, b and c, of which a is the primary.
func newGroup(t *testing.T, s state.Settings) map[chervilladder.UpstreamID]*member {
	t.Helper()
	addresses := group.Addresses{}
	members := map[chervilladder.UpstreamID]*member{}
	for _, name := range []chervilladder.UpstreamID{"a", "b", "c"} {
		m := &member{t: t, name: name, listeners: upstream.Listeners{Callers: listen(t), Group: listen(t), Control: listen(t)}}
		addresses[name] = chervilladder.Address(m.listeners.Group.Addr().String())
		m.config = upstream.Config{Name: name, Group: addresses, Primary: "a", Settings: s, Log: quiet(), Die: func() {}}
		members[name] = m
	}
	for _, m := range members {
		m.start()
		t.Cleanup(m.stop)
	}
	members["a"].await("role = primary", func(s control.Status) bool { return s.Role == "primary" })
	for _, name := range []chervilladder.UpstreamID{"b", "c"} {
		members[name].await("follows a", func(s control.Status) bool { return s.Primary == "a" && s.ContactMillis >= 0 && s.LogTerm == 1 })
	}
	return members
}

// newMember starts a group of one member.
func newMember(t testing.TB, s state.Settings) *member {
	t.Helper()
	m := &member{t: t, name: "a", listeners: upstream.Listeners{Callers: listen(t), Group: listen(t), Control: listen(t)}}
	m.config = upstream.Config{Name: "a", Primary: "a", Settings: s, Log: quiet(), Die: func() {}}
	m.start()
	t.Cleanup(m.stop)
	m.await("role = primary", func(s control.Status) bool { return s.Role == "primary" })
	return m
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// relisten returns a second listener on the same socket. The port stays bound
// when the returned listener is closed, so that a member can restart on it.
func relisten(t testing.TB, l net.Listener) net.Listener {
	t.Helper()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	next, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func (m *member) start() {
	u, err := upstream.New(m.config)
	if err != nil {
		m.t.Fatal(err)
	}
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.stopped = make(chan error, 1)
	listeners := upstream.Listeners{
		Callers: relisten(m.t, m.listeners.Callers),
		Group:   relisten(m.t, m.listeners.Group),
		Control: relisten(m.t, m.listeners.Control),
	}
	stopped := m.stopped
	go func() { stopped <- u.Run(ctx, listeners) }()
}

func (m *member) stop() {
	m.cancel()
	select {
	case err := <-m.stopped:
		if err != nil {
			m.t.Errorf("member %s: %v", m.name, err)
		}
		m.stopped <- nil
	case <-time.After(waitTimeout):
		m.t.Errorf("member %s does not stop", m.name)
	}
}

// restart stops the member and starts it again, empty, at the same addresses.
func (m *member) restart() {
	m.stop()
	m.start()
}

func (m *member) connect(user string, options ...func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/agenda?sslmode=prefer", user, m.listeners.Callers.Addr()))
	if err != nil {
		return nil, err
	}
	for _, o := range options {
		o(config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// conn opens a connection that is closed at the end of the test.
func (m *member) conn(options ...func(*pgx.ConnConfig)) *pgx.Conn {
	m.t.Helper()
	c, err := m.connect("clerk", options...)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { closeConn(c) })
	return c
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.Close(ctx)
}

// client opens a connection for each call, because a member closes its
// connections when it restarts.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post makes a control call.
func (m *member) post(call string) {
	m.t.Helper()
	r, err := client.Post("http://"+m.listeners.Control.Addr().String()+call, "", nil)
	if err != nil {
		m.t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		m.t.Fatalf("%s: %s", call, r.Status)
	}
}

// get decodes the answer to a control call.
func (m *member) get(call string, to any) {
	m.t.Helper()
	r, err := client.Get("http://" + m.listeners.Control.Addr().String() + call)
	if err != nil {
		m.t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(to); err != nil {
		m.t.Fatal(err)
	}
}

func (m *member) status() control.Status {
	m.t.Helper()
	var s control.Status
	m.get("/status", &s)
	return s
}

// await waits until the status meets a condition.
func (m *member) await(what string, ok func(control.Status) bool) control.Status {
	m.t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); <-tick.C {
		if s := m.status(); ok(s) {
			return s
		}
	}
	m.t.Fatalf("member %s: condition \"%s\" is not met: %+v", m.name, what, m.status())
	return control.Status{}
}

// logEntry is one transaction of a member's log.
type logEntry struct {
	Position chervilladder.Position
	Term     chervilladder.Term
	Changes  []struct{ Operation, Table, ID string }
}

// countChanges counts the changes of a row in the log.
func (m *member) countChanges(id string) int {
	m.t.Helper()
	var list []logEntry
	m.get("/log", &list)
	n := 0
	for _, e := range list {
		for _, c := range e.Changes {
			if c.ID == id {
				n++
			}
		}
	}
	return n
}

// code returns the SQLSTATE of an error.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// background is the context of calls that need no cancellation.
var background = context.Background()

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	tag, err := c.Exec(background, sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag.String()
}

// queryValue returns the only value that a query returns.
func queryValue[T any](t testing.TB, c *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var v T
	if err := c.QueryRow(background, sql, args...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

func TestReplication(t *testing.T) {
	is := is.New(t)
	members := newGroup(t, settings())
	a := members["a"].conn()
	is.Equal(exec(t, a, "INSERT INTO holds (id, room) VALUES ($1, $2)", "h1", "r1"), "INSERT 0 1")
	for _, name := range []chervilladder.UpstreamID{"b", "c"} {
		members[name].await("replayed 1", func(s control.Status) bool { return s.Replayed == 1 })
		c := members[name].conn()
		is.Equal(queryValue[string](t, c, "SELECT room FROM holds WHERE id = $1", "h1"), "r1")
		_, err := c.Exec(background, "INSERT INTO holds (id) VALUES ('h2')")
		is.Equal(code(err), "25006")
	}
}
