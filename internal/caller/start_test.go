package caller_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller"
)

func answerAll(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
	return []chervilladder.Reply{completed("SELECT 1", 'I')}, nil
}

// startup encodes a start-up message.
func startup(version uint32, body string) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)+8))
	out = binary.BigEndian.AppendUint32(out, version)
	return append(out, body...)
}

// exchangeBytes sends bytes on a new connection and returns the types of the
// messages that come back, with the SQLSTATE of an error.
func exchangeBytes(t testing.TB, address string, in []byte) string {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write(in)
	is.NoErr(err)
	// The server may have ended the connection already.
	_ = c.(*net.TCPConn).CloseWrite()
	out, _ := io.ReadAll(c)
	return messageTypes(out)
}

func messageTypes(out []byte) string {
	var types []byte
	for len(out) >= 5 {
		size := int(binary.BigEndian.Uint32(out[1:])) + 1
		types = append(types, out[0])
		if out[0] == 'E' && size <= len(out) {
			var e pgproto3.ErrorResponse
			_ = e.Decode(out[5:size])
			types = append(types, e.Severity[0])
			types = append(types, e.Code...)
		}
		out = out[min(size, len(out)):]
	}
	return string(types)
}

// startupResponse lists the message types of the response to a start-up
// message.
const startupResponse = "RSSSSSSSSKZ"

func TestStart(t *testing.T) {
	const validParameters = "user\x00clerk\x00database\x00ledger\x00"
	address := serve(t, caller.Config{Executor: &fakeExecutor{answer: answerAll}})
	query := encodeFrontend(&pgproto3.Query{String: "SELECT 1"})
	for _, c := range []struct {
		name string
		in   []byte
		want string
	}{
		{"plain", startup(3<<16, validParameters+"\x00"), startupResponse},
		{"newer minor version", startup(3<<16|2, validParameters+"\x00"), "v" + startupResponse},
		{"protocol option", startup(3<<16, validParameters+"_pq_.x\x001\x00\x00"), "v" + startupResponse},
		{"version 2", startup(2<<16, validParameters+"\x00"), "EF08P01"},
		{"options before user", startup(3<<16, "options\x00-c statement_timeout=5s\x00"+validParameters+"\x00"), startupResponse},
		{"bad options", startup(3<<16, validParameters+"options\x00-x\x00\x00"), "EF22023"},
		{"unknown option", startup(3<<16, validParameters+"options\x00-c user=x\x00\x00"), "EF42704"},
		{"unknown parameter", startup(3<<16, validParameters+"colour\x00red\x00\x00"), "EF42704"},
		{"unknown database", startup(3<<16, "user\x00clerk\x00database\x00x\x00\x00"), "EF3D000"},
		{"unknown class", startup(3<<16, validParameters+"chervilladder.class\x00none\x00\x00"), startupResponse},
		{"no user", startup(3<<16, "database\x00ledger\x00\x00"), "EF28000"},
		{"replication", startup(3<<16, validParameters+"replication\x00database\x00\x00"), "EF0A000"},
		{"encoding", startup(3<<16, validParameters+"client_encoding\x00LATIN1\x00\x00"), "EF22023"},
		{"not ended", startup(3<<16, "user\x00clerk"), "EF08P01"},
		{"no parameters", startup(3<<16, "\x00"), "EF08P01"},
		{"too long", binary.BigEndian.AppendUint32(nil, 1<<30), ""},
		{"too long with code", binary.BigEndian.AppendUint64(nil, 1<<62|3<<16), "EF08P01"},
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), "EF08P01"},
		{"cancel of nothing", startup(80877102, "12345678"), ""},
		{"cancel too short", startup(80877102, "1"), ""},
		{"query", append(startup(3<<16, validParameters+"\x00"), query...), startupResponse + "CZ"},
		{"unknown message", append(startup(3<<16, validParameters+"\x00"), 'y', 0, 0, 0, 4), startupResponse + "EF08P01"},
		{"negative length", append(startup(3<<16, validParameters+"\x00"), 'Q', 0, 0, 0, 1), startupResponse + "EF08P01"},
		{"oversized", append(startup(3<<16, validParameters+"\x00"), 'Q', 0x7f, 0, 0, 0), startupResponse + "EF54000"},
		{"query not ended", append(startup(3<<16, validParameters+"\x00"), 'Q', 0, 0, 0, 5, 'x'), startupResponse + "EF08P01"},
		{"execute malformed", append(startup(3<<16, validParameters+"\x00"), 'E', 0, 0, 0, 5, 'x'), startupResponse + "EF08P01"},
		{"query before sync", append(append(startup(3<<16, validParameters+"\x00"), encodeFrontend(&pgproto3.Parse{Query: "x"})...), query...), startupResponse + "EF08P01"},
		{"flush", append(startup(3<<16, validParameters+"\x00"), encodeFrontend(&pgproto3.Flush{}, &pgproto3.Sync{})...), startupResponse + "EE0A000Z"},
		{"unknown statement", append(startup(3<<16, validParameters+"\x00"), encodeFrontend(&pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Sync{})...), startupResponse + "EE26000Z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(exchangeBytes(t, address, c.in), c.want)
			is.Equal(exchangeBytes(t, address, startup(3<<16, validParameters+"\x00")), startupResponse) // other connections are still served
		})
	}
}

func TestSSLRequestIsDeclined(t *testing.T) {
	is := is.New(t)
	address := serve(t, caller.Config{Executor: &fakeExecutor{answer: answerAll}})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write(startup(80877103, ""))
	is.NoErr(err)
	var answer [1]byte
	_, err = io.ReadFull(c, answer[:])
	is.NoErr(err)
	is.Equal(answer[0], byte('N'))
	_, err = c.Write(startup(3<<16, "user\x00clerk\x00database\x00ledger\x00\x00"))
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	out, _ := io.ReadAll(c)
	is.Equal(messageTypes(out), startupResponse)
}

func encodeFrontend(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

// FuzzSession sends arbitrary bytes after a valid start-up message.
func FuzzSession(f *testing.F) {
	f.Add(encodeFrontend(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encodeFrontend(&pgproto3.Query{String: "BEGIN; SET x = 1; COMMIT"}, &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{}))
	f.Add(encodeFrontend(&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Flush{}, &pgproto3.CopyData{}, &pgproto3.Terminate{}))
	address := serve(f, caller.Config{Executor: &fakeExecutor{answer: answerAll}})
	start := startup(3<<16, "user\x00clerk\x00database\x00ledger\x00\x00")
	f.Fuzz(func(t *testing.T, in []byte) {
		got := exchangeBytes(t, address, append(bytes.Clone(start), in...))
		if len(got) < len(startupResponse) {
			t.Fatalf("answer %q", got)
		}
	})
}

// FuzzStart sends arbitrary bytes in place of a start-up message.
func FuzzStart(f *testing.F) {
	f.Add(startup(3<<16, "user\x00clerk\x00database\x00ledger\x00\x00"))
	f.Add(startup(3<<16|2, "options\x00-c a=b\x00_pq_.x\x00\x00"))
	f.Add(startup(80877102, "12345678"))
	address := serve(f, caller.Config{Executor: &fakeExecutor{answer: answerAll}})
	f.Fuzz(func(t *testing.T, in []byte) {
		exchangeBytes(t, address, in)
	})
}
