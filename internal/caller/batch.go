package caller

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// noStatement is a name that is never prepared: closing it upstream does
// nothing and is answered like any other close.
const noStatement = "chervilladder-none"

// batch is what a caller sends up to a Sync, or one simple query, rewritten
// for a pooled connection.
type batch struct {
	payload []byte
	needs   []chervilladder.Statement
	// statements are those that run, in order.
	statements []sqltext.Statement
	class      string
	// inTransaction is set when a transaction block was open before, and
	// readOnly when that block began as a read.
	inTransaction, readOnly bool
	// arrived is when the whole batch had been read.
	arrived time.Time
	// answered is when the whole answer had come; zero if it never did.
	answered time.Time
	// asWrite is set once the batch turned out to write.
	asWrite bool
	// unsynced is set while messages of the extended protocol wait for a
	// Sync.
	unsynced bool
	// bound are the portals that the batch creates.
	bound []portal

	// parsed are the statements that the batch prepares, in order, and
	// parsedOK how many of them were answered.
	parsed   []parsed
	parsedOK int
	closed   []string
	// unnamedHere is set while the upstream's unnamed statement is the one
	// that the caller last parsed in this batch.
	unnamedHere bool

	// simple is set for a batch of the simple protocol.
	simple bool
	// ended is set once a statement has ended the transaction that was open
	// before.
	ended bool

	failed     bool
	rolledBack bool

	// failure is an error that the proxy answers instead of running the
	// batch; local is an answer of its own.
	failure error
	// told is set once the caller was told of the failure.
	told  bool
	local []byte
}

// parsed is a statement that a batch prepares, and closes again if dropped.
type parsed struct {
	name     string
	prepared *prepared
	dropped  bool
}

// readBatch reads messages up to the end of a batch. While a transaction is
// open, and holds a slot, the whole batch has to come in time.
func (s *session) readBatch() (*batch, error) {
	if s.exchange != nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.IdleTransactionTimeout))
		defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	}
	if err := s.awaitCaller(); err != nil {
		return nil, err
	}
	b := &batch{inTransaction: s.exchange != nil, readOnly: s.exchange != nil && s.readOnly}
	left := s.server.MaxBatchBytes
	for {
		kind, body, err := s.reader.message(left)
		if err != nil {
			return nil, err
		}
		left -= len(body)
		done, err := s.add(b, kind, body)
		if err != nil {
			return nil, err
		}
		if done {
			b.arrived = time.Now()
			return b, nil
		}
	}
}

// add takes one message into a batch and reports whether it ends it. Its
// errors end the session; what only spoils the batch goes into b.failure.
func (s *session) add(b *batch, kind byte, body []byte) (bool, error) {
	switch kind {
	case 'X':
		return false, errTerminated
	case 'S':
		b.append(kind, body)
		return true, nil
	case 'Q':
		return true, s.addQuery(b, body)
	case 'P', 'B', 'D', 'E', 'C':
		b.unsynced = true
		if b.failure != nil {
			return false, nil
		}
		return false, s.addExtended(b, kind, body)
	case 'H':
		return false, s.refuseFlush(b)
	case 'F':
		b.fail(&protocolError{code: codeNotSupported, message: "the function call protocol is not supported"})
		return true, nil
	case 'd', 'c', 'f':
		return false, nil
	default:
		return false, &protocolError{code: codeProtocol, message: fmt.Sprintf("unknown message type %q", kind)}
	}
}

// refuseFlush answers at once, since the caller may wait for an answer before
// it sends the Sync.
func (s *session) refuseFlush(b *batch) error {
	b.fail(&protocolError{code: codeNotSupported, message: "Flush is not supported, end the batch with Sync"})
	if b.inTransaction {
		return fatal(b.failure)
	}
	if b.told {
		return nil
	}
	b.told = true
	out, err := response(b.failure).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode error: %w", err)
	}
	return s.write(out)
}

func (b *batch) fail(err error) {
	if b.failure == nil {
		b.failure = err
	}
}

// append takes a message over unchanged.
func (b *batch) append(kind byte, body []byte) {
	b.payload = append(b.payload, kind)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(len(body)+4))
	b.payload = append(b.payload, body...)
}

func (b *batch) encodeMessage(m pgproto3.FrontendMessage) {
	out, err := m.Encode(b.payload)
	if err != nil {
		b.fail(&protocolError{code: codeProtocol, message: err.Error()})
		return
	}
	b.payload = out
}

func malformed(err error) error {
	return &protocolError{code: codeProtocol, message: "malformed message: " + err.Error()}
}

func (s *session) addQuery(b *batch, body []byte) error {
	if b.unsynced {
		return &protocolError{code: codeProtocol, message: "a simple query has to wait for the Sync of the messages before it"}
	}
	var q pgproto3.Query
	if err := q.Decode(body); err != nil {
		return malformed(err)
	}
	parts := sqltext.Scan(q.String)
	if len(parts) == 1 && parts[0].Kind == sqltext.KindForget && !b.inTransaction {
		return s.forget(b, parts[0])
	}
	b.simple = true
	b.run(s, parts)
	b.append('Q', body)
	return nil
}

// forget answers DEALLOCATE ALL and DISCARD ALL: what they drop is held here.
func (s *session) forget(b *batch, x sqltext.Statement) error {
	tag := "DEALLOCATE ALL"
	s.statements.clear()
	if x.Name == "discard" {
		tag = "DISCARD ALL"
		s.settings.list = s.settings.initial
	}
	out, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode completion: %w", err)
	}
	b.local, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(out)
	return err
}

// run records that statements run in the batch, and refuses those that need a
// connection of the caller's own.
func (b *batch) run(s *session, parts []sqltext.Statement) {
	b.tag(parts)
	for _, x := range parts {
		if x.Kind == sqltext.KindSet {
			if err := s.settings.check(x); err != nil {
				b.fail(err)
			}
		}
	}
	if err := refused(parts); err != nil {
		b.fail(err)
	}
	if b.readOnly {
		b.checkReadOnly(parts)
	}
	b.statements = append(b.statements, parts...)
}

// tag takes over the class that a comment in the statements names.
func (b *batch) tag(parts []sqltext.Statement) {
	for _, x := range parts {
		if x.Class != "" {
			b.class = x.Class
		}
	}
}

// refused returns why statements can't run on a pooled connection, if so.
func refused(parts []sqltext.Statement) error {
	for _, x := range parts {
		switch x.Kind {
		case sqltext.KindRefused:
			return &protocolError{code: codeNotSupported, message: x.Why + " is not supported through the proxy"}
		case sqltext.KindForget:
			return &protocolError{code: codeNotSupported, message: "DEALLOCATE and DISCARD have to be sent alone, as a simple query"}
		}
	}
	return nil
}

// checkReadOnly refuses what would let a transaction that began as a read, and
// whose answers are proved as a read's, go on as a write.
func (b *batch) checkReadOnly(parts []sqltext.Statement) {
	for _, x := range parts {
		if x.Kind == sqltext.KindReadWrite {
			b.fail(&protocolError{code: codeNotSupported, message: "a transaction that began read only can't be made to write"})
		}
		if b.ended {
			b.fail(&protocolError{code: codeNotSupported, message: "the end of a read-only transaction has to be sent alone"})
		}
		b.ended = b.ended || x.Kind == sqltext.KindCommit || x.Kind == sqltext.KindRollback
	}
}

// access says which members may run the batch.
func (b *batch) access() chervilladder.Access {
	if b.asWrite {
		return chervilladder.AccessWrite
	}
	for _, x := range b.statements {
		switch x.Kind {
		case sqltext.KindRead, sqltext.KindBeginRead:
		case sqltext.KindCommit, sqltext.KindRollback:
		default:
			return chervilladder.AccessWrite
		}
	}
	return chervilladder.AccessRead
}

// encode returns the batch as the executor takes it.
func (b *batch) encode() chervilladder.Batch {
	return chervilladder.Batch{
		Payload: b.payload,
		Needs:   b.needs,
		Closes:  b.ends(),
		Commits: b.commits(),
		Trace:   b.trace(),
	}
}

// trace says how the transaction's id can be asked for. A lone statement of
// the simple protocol has no place for the question.
func (b *batch) trace() chervilladder.Trace {
	if b.inTransaction {
		if b.ends() {
			return chervilladder.TraceBefore
		}
		return chervilladder.TraceNone
	}
	if b.simple || len(b.statements) == 0 {
		return chervilladder.TraceNone
	}
	for _, x := range b.statements {
		if !x.Changes {
			return chervilladder.TraceNone
		}
	}
	return chervilladder.TraceWithin
}

func (b *batch) ends() bool {
	for _, x := range b.statements {
		if x.Kind == sqltext.KindCommit || x.Kind == sqltext.KindRollback {
			return true
		}
	}
	return false
}

// commits reports whether running the batch may make a change durable.
func (b *batch) commits() bool {
	open := b.inTransaction
	for _, x := range b.statements {
		switch x.Kind {
		case sqltext.KindBegin, sqltext.KindBeginRead:
			open = true
		case sqltext.KindCommit:
			return true
		case sqltext.KindRollback:
			open = false
		default:
			if !open {
				return true
			}
		}
	}
	return false
}

// watch follows the answer: which statements were prepared, and whether the
// batch failed.
func (b *batch) watch(payload []byte) {
	for len(payload) >= 5 {
		size := int(binary.BigEndian.Uint32(payload[1:])) + 1
		switch payload[0] {
		case '1':
			b.parsedOK++
		case 'E':
			b.failed = true
		case 'C':
			b.rolledBack = string(payload[5:min(size, 13)]) == "ROLLBACK"
		}
		if size > len(payload) {
			return
		}
		payload = payload[size:]
	}
}

// commit records what the answered batch has prepared and closed.
func (b *batch) commit(s *statements) {
	for _, name := range b.closed {
		s.remove(name)
	}
	for _, p := range b.parsed[:min(b.parsedOK, len(b.parsed))] {
		if !p.dropped {
			s.add(p.name, p.prepared)
		}
	}
}
