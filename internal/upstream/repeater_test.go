package upstream

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// repeater is an upstream that can send its last answer a second time. The answer to each
// statement holds the number of the statement.
type repeater struct {
	writing    sync.Mutex // guards writes to conn
	conn       net.Conn
	backend    *pgproto3.Backend
	statements int
	status     byte
	// parameters are the parameter types of the unnamed statement.
	parameters []uint32
	// answer holds the messages that haven't been sent yet, last those that were sent for
	// the last request.
	answer, last [][]byte
	// unnumbered is set if parameters that a statement doesn't use aren't described.
	unnumbered bool
	// text is that of the last simple query.
	text string
	// random chooses the answers that are sent again after a delay; nil if none is.
	random *rand.Rand
	// early is how many messages of the next answer are sent before the repeated one;
	// less than none if nothing is repeated.
	early int
}

const repeatNothing = -1

// inTheMiddle is how many messages of an answer end within its part after the marker.
const inTheMiddle = 4

// requestTimeout bounds a request of the test.
const requestTimeout = 2 * time.Second

func newRepeater(conn net.Conn) *repeater {
	return &repeater{conn: conn, backend: pgproto3.NewBackend(conn, conn), status: 'I', early: repeatNothing}
}

func (r *repeater) serve() {
	for {
		m, err := r.backend.Receive()
		if err != nil {
			return
		}
		r.handle(m)
	}
}

func (r *repeater) handle(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if m.Name == "" {
			r.parameters = append([]uint32(nil), m.ParameterOIDs...)
		}
		r.add(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		r.describe(m)
	case *pgproto3.Bind:
		r.add(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		r.add(&pgproto3.CloseComplete{})
	case *pgproto3.Execute:
		r.run()
	case *pgproto3.Query:
		r.text = m.String
		r.add(description([]string{"n"}))
		r.run()
		r.add(&pgproto3.ReadyForQuery{TxStatus: r.status})
		r.flush()
	case *pgproto3.Flush:
		r.flush()
	case *pgproto3.Sync:
		r.add(&pgproto3.ReadyForQuery{TxStatus: r.status})
		r.flush()
	}
}

func (r *repeater) describe(m *pgproto3.Describe) {
	if m.Name != "" {
		r.add(&pgproto3.ParameterDescription{})
		r.add(description([]string{"n"}))
		return
	}
	if r.unnumbered {
		r.parameters = nil
	}
	r.add(&pgproto3.ParameterDescription{ParameterOIDs: r.parameters})
	r.add(&pgproto3.NoData{})
}

// run answers a statement with its number. In a failed transaction block, it answers with
// an error.
func (r *repeater) run() {
	if r.status == 'E' {
		r.add(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25P02", Message: "current transaction is aborted"})
		return
	}
	r.statements++
	r.add(&pgproto3.DataRow{Values: [][]byte{fmt.Append(nil, r.statements), []byte(r.text)}})
	r.add(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (r *repeater) add(m pgproto3.BackendMessage) {
	out, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	r.answer = append(r.answer, out)
}

func (r *repeater) flush() {
	answer := r.answer
	r.answer = nil
	if r.early >= 0 {
		early := min(r.early, len(answer)-1)
		r.write(answer[:early])
		r.write(r.last)
		r.write(answer[early:])
	} else {
		r.write(answer)
	}
	r.last = answer
	r.repeatLate(answer)
}

// The share of the answers that are sent again, and the longest delay before that.
const (
	repeatOneIn    = 12
	maxRepeatDelay = 200 * time.Millisecond
)

// repeatLate sends some answers again after a delay.
func (r *repeater) repeatLate(answer [][]byte) {
	if r.random == nil || r.random.IntN(repeatOneIn) > 0 {
		return
	}
	delay := time.Duration(r.random.Int64N(int64(maxRepeatDelay)))
	time.AfterFunc(delay, func() { r.write(answer) })
}

func (r *repeater) write(messages [][]byte) {
	r.writing.Lock()
	defer r.writing.Unlock()
	var out []byte
	for _, m := range messages {
		out = append(out, m...)
	}
	_, _ = r.conn.Write(out)
}

// startAndServe serves a connection from its start on.
func (r *repeater) startAndServe() {
	defer r.conn.Close()
	if _, err := r.backend.ReceiveStartupMessage(); err != nil {
		return
	}
	r.addStart()
	r.flush()
	r.serve()
}

// addStart adds the answer to a connection's start.
func (r *repeater) addStart() {
	r.add(&pgproto3.AuthenticationOk{})
	r.add(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("key ")})
	r.add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
