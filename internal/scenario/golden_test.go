package scenario_test

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// TestSessions compares whole sessions with golden files, one message a line
// with its direction. Each runs through both VMs and must give the same messages.
func TestSessions(t *testing.T) {
	w := conformanceWorld(t)
	sessions := []struct {
		name  string
		steps [][]pgproto3.FrontendMessage
	}{
		{"simple", [][]pgproto3.FrontendMessage{
			{query("SELECT 1; SELECT 2")},
			{query("")},
			{query("SELECT 1 +")},
			{query("LISTEN x")},
		}},
		{"extended", [][]pgproto3.FrontendMessage{
			{&pgproto3.Parse{Name: "s", Query: "SELECT $1::int4", ParameterOIDs: []uint32{}}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}},
			{bind("s", "7"), &pgproto3.Execute{}, &pgproto3.Sync{}},
			{bind("s", "x"), &pgproto3.Execute{}, &pgproto3.Sync{}},
			{&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{}},
			{&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}},
			{bind("s", "7"), &pgproto3.Execute{}, &pgproto3.Sync{}},
			{&pgproto3.Parse{Query: "SELECT $1::text"}, bind("", "a"), &pgproto3.Execute{}, &pgproto3.Sync{}},
			{bind("", "b"), &pgproto3.Execute{}, &pgproto3.Sync{}},
			{&pgproto3.Flush{}, &pgproto3.Sync{}},
		}},
		{"transaction", [][]pgproto3.FrontendMessage{
			{query("BEGIN")},
			{query("SELECT 1/0")},
			{query("SELECT 1")},
			{query("ROLLBACK")},
			{query("BEGIN")},
			{&pgproto3.Parse{Query: "SELECT i FROM generate_series(1, 3) i"}, &pgproto3.Bind{DestinationPortal: "p"}, &pgproto3.Execute{Portal: "p", MaxRows: 2}, &pgproto3.Sync{}},
			{&pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{}},
			{query("COMMIT")},
		}},
	}
	for _, s := range sessions {
		for _, vm := range w.vms {
			t.Run(s.name+"/"+vm, func(t *testing.T) {
				compareGolden(t, s.name, record(t, w.callerAddresses[vm], s.steps))
			})
		}
	}
}

func query(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

func bind(statement string, values ...string) pgproto3.FrontendMessage {
	m := &pgproto3.Bind{PreparedStatement: statement}
	for _, v := range values {
		m.Parameters = append(m.Parameters, []byte(v))
	}
	return m
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", "sessions", name+".txt")
	if *updateGolden {
		is.NoErr(os.MkdirAll(filepath.Dir(file), 0o755))
		is.NoErr(os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// record runs a session and returns its messages as text, without values
// that differ between runs, such as cancel keys.
func record(t *testing.T, address string, steps [][]pgproto3.FrontendMessage) string {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	f := pgproto3.NewFrontend(c, c)
	var out bytes.Buffer
	start := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "clerk", "database": database},
	}
	for _, step := range append([][]pgproto3.FrontendMessage{{start}}, steps...) {
		for _, m := range step {
			fmt.Fprintf(&out, "> %s\n", line(m))
			f.Send(m)
		}
		is.NoErr(f.Flush())
		receive(t, f, &out)
	}
	return out.String()
}

// receive writes the received messages up to ReadyForQuery.
func receive(t *testing.T, f *pgproto3.Frontend, out *bytes.Buffer) {
	t.Helper()
	for {
		m, err := f.Receive()
		is.New(t).NoErr(err)
		fmt.Fprintf(out, "< %s\n", line(m))
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}

// line formats a message as its name and its fields.
func line(m any) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
	switch m := m.(type) {
	case *pgproto3.StartupMessage:
		return fmt.Sprintf("%s user=%s database=%s", name, m.Parameters["user"], m.Parameters["database"])
	case *pgproto3.BackendKeyData:
		return name
	case *pgproto3.Query:
		return fmt.Sprintf("%s %q", name, m.String)
	case *pgproto3.Parse:
		return fmt.Sprintf("%s %q %q", name, m.Name, m.Query)
	case *pgproto3.Bind:
		return fmt.Sprintf("%s %q %q %q", name, m.DestinationPortal, m.PreparedStatement, m.Parameters)
	case *pgproto3.Describe:
		return fmt.Sprintf("%s %c %q", name, m.ObjectType, m.Name)
	case *pgproto3.Close:
		return fmt.Sprintf("%s %c %q", name, m.ObjectType, m.Name)
	case *pgproto3.Execute:
		return fmt.Sprintf("%s %q %d", name, m.Portal, m.MaxRows)
	case *pgproto3.ParameterStatus:
		return fmt.Sprintf("%s %s=%s", name, m.Name, m.Value)
	case *pgproto3.RowDescription:
		var columns []string
		for _, field := range m.Fields {
			columns = append(columns, fmt.Sprintf("%s:%d", field.Name, field.DataTypeOID))
		}
		return name + " " + strings.Join(columns, " ")
	case *pgproto3.ParameterDescription:
		return fmt.Sprintf("%s %d", name, m.ParameterOIDs)
	case *pgproto3.DataRow:
		return fmt.Sprintf("%s %q", name, m.Values)
	case *pgproto3.CommandComplete:
		return fmt.Sprintf("%s %s", name, m.CommandTag)
	case *pgproto3.ErrorResponse:
		return fmt.Sprintf("%s %s %s %q %q position %d", name, m.Severity, m.Code, m.Message, m.Detail, m.Position)
	case *pgproto3.ReadyForQuery:
		return fmt.Sprintf("%s %c", name, m.TxStatus)
	default:
		return name
	}
}
