package upstream

import (
	"errors"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// scriptedMember answers status requests as the test says, and records the types of the
// messages in each request; M stands for a marker.
type scriptedMember struct {
	backend  *pgproto3.Backend
	requests []string
}

// serve answers one request.
func (m *scriptedMember) serve(columns []string, values []string, failure *pgproto3.ErrorResponse) error {
	kinds := ""
	var marker []uint32
	for {
		message, err := m.backend.Receive()
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.Close:
			kinds += "C"
			m.backend.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Parse:
			m.backend.Send(&pgproto3.ParseComplete{})
			if message.Name == "" {
				marker = message.ParameterOIDs
				continue
			}
			kinds += "P"
		case *pgproto3.Describe:
			if message.Name == "" {
				kinds += "M"
				m.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: marker})
				m.backend.Send(&pgproto3.NoData{})
				continue
			}
			kinds += "D"
			m.backend.Send(&pgproto3.ParameterDescription{})
			m.backend.Send(description(columns))
		case *pgproto3.Bind:
			kinds += "B"
			if failure == nil {
				m.backend.Send(&pgproto3.BindComplete{})
			}
		case *pgproto3.Execute:
			kinds += "E"
			m.execute(values, failure)
		case *pgproto3.Sync:
			m.requests = append(m.requests, kinds+"S")
			m.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return m.backend.Flush()
		}
	}
}

func (m *scriptedMember) execute(values []string, failure *pgproto3.ErrorResponse) {
	if failure != nil {
		m.backend.Send(failure)
		return
	}
	r := &pgproto3.DataRow{}
	for _, v := range values {
		r.Values = append(r.Values, []byte(v))
	}
	m.backend.Send(r)
	m.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func description(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c)})
	}
	return d
}

// The status statement is prepared once, and again after an error: the columns may have
// changed.
func TestStatusPreparedOnce(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	script := &scriptedMember{backend: pgproto3.NewBackend(server, server)}
	done := make(chan error, 1)
	go func() {
		first := []string{"role", "term", "received", "claim", "holder"}
		second := []string{"term", "role"}
		stale := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "0A000", Message: "cached plan must not change result type"}
		done <- errors.Join(
			script.serve(first, []string{"primary", "2", "40", "7", "vm-1"}, nil),
			script.serve(first, []string{"primary", "2", "41", "7", "vm-1"}, nil),
			script.serve(first, nil, stale),
			script.serve(second, []string{"3", "replica"}, nil),
		)
	}()
	m := &Member{conn: newConn(chervilladder.Upstream{ID: "u"}, client)}
	defer m.Close()

	want := chervilladder.MemberStatus{
		Upstream: "u", Role: chervilladder.RolePrimary, Term: 2, Received: 40, Claim: 7, Holder: "vm-1",
	}
	got, err := m.Status(t.Context())
	is.NoErr(err)
	is.Equal(got, want)
	want.Received = 41
	got, err = m.Status(t.Context())
	is.NoErr(err)
	is.Equal(got, want)
	_, err = m.Status(t.Context())
	var refused *ResponseError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, "0A000")
	got, err = m.Status(t.Context())
	is.NoErr(err)
	is.Equal(got, chervilladder.MemberStatus{Upstream: "u", Role: chervilladder.RoleReplica, Term: 3})
	is.NoErr(<-done)
	is.Equal(script.requests, []string{"MCPDBES", "MBES", "MBES", "MCPDBES"})
}
