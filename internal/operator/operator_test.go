package operator

import (
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

func testServer(t *testing.T, token Token, b chervilladder.Burn) (*Server, *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	board := blackboard.New(chervilladder.VM{ID: "vm-1", DataCentre: "a"})
	drains := new(int)
	s, err := New(Config{
		Board: board, Listener: noListener{}, Log: log, Token: token, Burn: b,
		Drain: func() { *drains++; board.Local.Store(blackboard.Local{Draining: true}) },
		Vars:  new(expvar.Map).Init(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, drains
}

type noListener struct{ net.Listener }

type burnStub struct{ err error }

func (b burnStub) WriteJSON(w io.Writer) error {
	_, _ = io.WriteString(w, `{"classes":[]}`)
	return b.err
}

func call(s *Server, method, path, from, authorization string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	r.RemoteAddr = from
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

const loopback = "127.0.0.1:5"

func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := testServer(t, "", nil)
		b := s.Board
		is.Equal(NewStatus(b, time.Now()).SecondsSinceConfirmed, float64(NeverConfirmed))
		b.Published.Store(blackboard.Published{Revision: 7, Confirmed: time.Now()})
		b.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{
			"vm-2": {State: blackboard.MemberSuspect}, "vm-1": {},
		}})
		b.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{"x": "vm-1", "y": "vm-2"}})
		b.Databases.Get("x").Group.Store(blackboard.Group{Primary: "x-1", Term: 3})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(call(s, http.MethodGet, "/v1/status", loopback, "").Body.String(),
			`{"vm":"vm-1","data-centre":"a","revision":7,"knowledge-age-seconds":1.5,"state":"ready","owned":["x"],`+
				`"members":[{"vm":"vm-1","state":"alive"},{"vm":"vm-2","state":"suspect"}],`+
				`"groups":[{"database":"x","primary":"x-1","term":3,"owner":"vm-1"},{"database":"y","primary":"","term":0,"owner":"vm-2"}]}`+"\n")
	})
}

func TestReadyOnlyWithConfigurationAndWithoutDrain(t *testing.T) {
	is := is.New(t)
	s, drains := testServer(t, "", nil)
	is.Equal(call(s, http.MethodGet, "/healthz", loopback, "").Code, http.StatusOK)
	is.Equal(call(s, http.MethodGet, "/readyz", loopback, "").Code, http.StatusServiceUnavailable)
	s.Board.Catalogue.Store(&chervilladder.Catalogue{})
	is.Equal(call(s, http.MethodGet, "/readyz", loopback, "").Code, http.StatusOK)
	is.Equal(call(s, http.MethodGet, "/v1/drain", loopback, "").Code, http.StatusMethodNotAllowed)
	is.Equal(call(s, http.MethodPost, "/v1/drain", loopback, "").Code, http.StatusAccepted)
	is.Equal(*drains, 1)
	is.Equal(call(s, http.MethodGet, "/readyz", loopback, "").Code, http.StatusServiceUnavailable)
	is.Equal(call(s, http.MethodGet, "/healthz", loopback, "").Code, http.StatusOK)
	is.Equal(NewStatus(s.Board, time.Now()).State, StateDraining)
}

func TestBurn(t *testing.T) {
	is := is.New(t)
	s, _ := testServer(t, "", nil)
	is.Equal(call(s, http.MethodGet, "/v1/burn", loopback, "").Code, http.StatusNotFound)
	s, _ = testServer(t, "", burnStub{})
	is.Equal(call(s, http.MethodGet, "/v1/burn", loopback, "").Body.String(), "{\"classes\":[]}\n")
	s, _ = testServer(t, "", burnStub{err: errors.New("half written")})
	is.Equal(call(s, http.MethodGet, "/v1/burn", loopback, "").Code, http.StatusInternalServerError)
}

func TestAuthorization(t *testing.T) {
	is := is.New(t)
	withoutToken, drains := testServer(t, "", nil)
	withToken, _ := testServer(t, "a long enough token", nil)
	for _, c := range []struct {
		server        *Server
		from          string
		authorization string
		want          int
	}{
		{withoutToken, loopback, "", http.StatusAccepted},
		{withoutToken, "[::1]:5", "", http.StatusAccepted},
		{withoutToken, "10.0.0.1:5", "", http.StatusForbidden},
		{withoutToken, "10.0.0.1:5", "Bearer ", http.StatusForbidden},
		{withToken, loopback, "", http.StatusAccepted},
		{withToken, "10.0.0.1:5", "", http.StatusUnauthorized},
		{withToken, "10.0.0.1:5", "Bearer wrong", http.StatusUnauthorized},
		{withToken, "10.0.0.1:5", "Bearer a long enough token", http.StatusAccepted},
	} {
		is.Equal(call(c.server, http.MethodPost, "/v1/drain", c.from, c.authorization).Code, c.want)
	}
	is.Equal(*drains, 2)
}
