package upstream_test

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func sendParseAndBind(f *pgproto3.Frontend, sql string) {
	f.SendParse(&pgproto3.Parse{Query: sql})
	f.SendBind(&pgproto3.Bind{})
}

func sendExecute(f *pgproto3.Frontend, rows uint32) { f.SendExecute(&pgproto3.Execute{MaxRows: rows}) }

func sendSync(f *pgproto3.Frontend) { f.SendSync(&pgproto3.Sync{}) }

// receiveAll returns the type letters of the messages up to ReadyForQuery, with
// command tags, error codes and the transaction status.
func receiveAll(t *testing.T, f *pgproto3.Frontend) string {
	t.Helper()
	var list []string
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("after %v: %v", list, err)
		}
		switch m := m.(type) {
		case *pgproto3.ParseComplete:
			list = append(list, "1")
		case *pgproto3.BindComplete:
			list = append(list, "2")
		case *pgproto3.DataRow:
			list = append(list, "D")
		case *pgproto3.PortalSuspended:
			list = append(list, "s")
		case *pgproto3.CommandComplete:
			list = append(list, "C("+string(m.CommandTag)+")")
		case *pgproto3.ErrorResponse:
			list = append(list, "E("+m.Code+")")
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(list, "Z("+string(m.TxStatus)+")"), " ")
		}
	}
}

func TestBadMessagesEndTheirConnectionOnly(t *testing.T) {
	m := newMember(t, settings())
	good := m.conn()
	start, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "clerk"},
	}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	tooLong := binary.BigEndian.AppendUint32(append(start[:len(start):len(start)], 'Q'), 1<<30)
	for name, bytes := range map[string][]byte{
		"no start-up":   []byte("GET / HTTP/1.1\r\n\r\n"),
		"unknown type":  append(start[:len(start):len(start)], '?', 0, 0, 0, 4),
		"too long":      tooLong,
		"no body":       append(start[:len(start):len(start)], 'B', 0, 0, 0, 4),
		"negative size": append(start[:len(start):len(start)], 'Q', 0xff, 0xff, 0xff, 0xff),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", m.listeners.Callers.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = c.Write(bytes)
			is.NoErr(err)
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(strings.Contains(string(answer), "08P01"), name != "no start-up")
			is.Equal(queryValue[int32](t, good, "SELECT 1"), int32(1))
		})
	}
}
