package upstream_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzSession sends a random statement, parameter and raw message, and checks
// that the member still serves other connections.
func FuzzSession(f *testing.F) {
	s := settings()
	s.Connections, s.Slots = 1000, 1000
	m := newMember(f, s)
	good := m.conn()
	for _, seed := range []struct {
		sql    string
		param  []byte
		binary bool
		raw    []byte
	}{
		{"SELECT $1::int + 1", []byte{0, 0, 0, 7}, true, nil},
		{"SELECT $1::float8 / 0", []byte("1"), false, []byte("Q\x00\x00\x00\x04")},
		{"INSERT INTO t (id, a) VALUES ($1, 'x') ON CONFLICT (id) DO UPDATE SET a = t.a || EXCLUDED.a RETURNING *", []byte("1"), false, []byte("S\x00\x00\x00\x04")},
		{"UPDATE t SET a = $1 WHERE id > '' RETURNING a; SELECT * FROM t ORDER BY a", nil, false, []byte("E\x00\x00\x00\x09\x00\x00\x00\x00\x00")},
		{"SELECT count(*), pg_xact_status($1) FROM t WHERE a IN ('x', NULL)", []byte("1000"), false, []byte("D\x00\x00\x00\x06S\x00")},
		{"SELECT term FROM group_bind($1)", []byte{0, 0, 0, 0, 0, 0, 0, 9}, true, []byte("X\x00\x00\x00\x04")},
		{"SELECT set_config('a', $1, true), current_setting('a'), repeat('x', 3), now()", []byte("v"), true, []byte("C\x00\x00\x00\x06P\x00")},
		{"BEGIN; SAVEPOINT s; DELETE FROM t; ROLLBACK TO s; DISCARD ALL; COMMIT", nil, false, []byte("F\x00\x00\x00\x04")},
		{"SET statement_timeout = 9; SELECT pg_sleep($1)", []byte("0.001"), false, nil},
	} {
		f.Add(seed.sql, seed.param, seed.binary, seed.raw)
	}
	f.Fuzz(func(t *testing.T, sql string, param []byte, binary bool, raw []byte) {
		c, err := net.Dial("tcp", m.listeners.Callers.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		go func() {
			// The member may close the connection at any time.
			_ = sendAll(c, sql, param, binary, raw)
			_ = c.(*net.TCPConn).CloseWrite()
		}()
		if _, err := io.Copy(io.Discard, io.LimitReader(c, 1<<20)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the member does not answer")
		}
		queryValue[int32](t, good, "SELECT 1")
	})
}

func sendAll(c net.Conn, sql string, param []byte, binary bool, raw []byte) error {
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "clerk", "statement_timeout": "50ms"},
	})
	bind := &pgproto3.Bind{Parameters: [][]byte{param}, ParameterFormatCodes: []int16{0}, ResultFormatCodes: []int16{1}}
	if binary {
		bind.ParameterFormatCodes[0] = 1
	}
	f.Send(&pgproto3.Parse{Query: sql})
	f.Send(bind)
	f.Send(&pgproto3.Describe{ObjectType: 'P'})
	f.Send(&pgproto3.Execute{MaxRows: 1})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Query{String: sql})
	if err := f.Flush(); err != nil {
		return err
	}
	_, err := c.Write(raw)
	return err
}
