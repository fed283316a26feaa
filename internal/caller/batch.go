package caller

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// neverPrepared is a name under which nothing is ever prepared. The upstream
// answers its Close like any other, without effect.
const neverPrepared = "chervilladder-none"

// batch holds the messages up to a Sync, or one simple query, rewritten for a
// pooled connection.
type batch struct {
	payload []byte
	needs   []chervilladder.Statement
	// statements are the statements that the batch executes, in order.
	statements []sqltext.Statement
	class      string
	// inTransaction is set if a transaction block was open before the
	// batch, and readOnly if that block was opened for reads.
	inTransaction, readOnly bool
	// arrived is when the batch had been read completely.
	arrived time.Time
	// answered is when the answer had been received completely, or zero.
	answered time.Time
	// asWrite is set once an upstream has rejected the batch because it
	// writes.
	asWrite bool
	// unsynced is set while messages of the extended protocol await a Sync.
	unsynced bool
	// bound are the portals that the batch creates.
	bound []portal

	// preparations are the statements that the batch prepares, in order, and
	// confirmedCount is how many of them the upstream has confirmed.
	preparations   []preparation
	confirmedCount int
	closed         []string
	// unnamedParsed is set if the last Parse in this batch was of the
	// caller's unnamed statement, which is then the upstream's unnamed
	// statement too.
	unnamedParsed bool

	// simple is set for a batch of the simple protocol.
	simple bool
	// transactionEnded is set once a statement has ended the read-only
	// transaction that was open before the batch. It isn't set for other
	// transactions.
	transactionEnded bool

	// upstreamFailed is set once the upstream has answered with an error, and
	// rolledBack while the last statement that it completed was a ROLLBACK.
	upstreamFailed bool
	rolledBack     bool

	// failure is an error with which the proxy answers instead of running
	// the batch; localAnswer is an answer that the proxy gives itself.
	failure error
	// failureSent is set once the failure has been sent to the caller.
	failureSent bool
	localAnswer []byte
}

// preparation is a statement that a batch prepares. dropped is set if the same
// batch closes it again.
type preparation struct {
	name     string
	prepared *prepared
	dropped  bool
}

// readBatch reads messages up to the end of a batch. While a transaction is
// open, and so occupies a slot, the whole batch must arrive within
// IdleTransactionTimeout.
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

// add adds a message to the batch and reports whether the message ends it. A
// returned error ends the session; an error of the batch alone is stored in
// b.failure.
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
		return false, s.rejectFlush(b)
	case 'F':
		b.fail(&proxyError{code: codeNotSupported, message: "the function call protocol is not supported"})
		return true, nil
	case 'd', 'c', 'f':
		return false, nil
	default:
		return false, &proxyError{code: codeProtocol, message: fmt.Sprintf("unknown message type %q", kind)}
	}
}

// rejectFlush sends its error immediately, since the caller may wait for an
// answer before it sends the Sync.
func (s *session) rejectFlush(b *batch) error {
	b.fail(&proxyError{code: codeNotSupported, message: "Flush is not supported, end the batch with Sync"})
	if b.inTransaction {
		return fatal(b.failure)
	}
	if b.failureSent {
		return nil
	}
	b.failureSent = true
	out, err := response(b.failure).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode error response: %w", err)
	}
	return s.write(out)
}

func (b *batch) fail(err error) {
	if b.failure == nil {
		b.failure = err
	}
}

// append appends a message unchanged.
func (b *batch) append(kind byte, body []byte) {
	b.payload = append(b.payload, kind)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(len(body)+4))
	b.payload = append(b.payload, body...)
}

func (b *batch) encodeMessage(m pgproto3.FrontendMessage) {
	out, err := m.Encode(b.payload)
	if err != nil {
		b.fail(&proxyError{code: codeProtocol, message: err.Error()})
		return
	}
	b.payload = out
}

func malformed(err error) error {
	return &proxyError{code: codeProtocol, message: "malformed message: " + err.Error()}
}

func (s *session) addQuery(b *batch, body []byte) error {
	if b.unsynced {
		return &proxyError{code: codeProtocol, message: "a simple query has to wait for the Sync of the messages before it"}
	}
	var q pgproto3.Query
	if err := q.Decode(body); err != nil {
		return malformed(err)
	}
	statements := sqltext.Scan(q.String)
	if len(statements) == 1 && statements[0].Kind == sqltext.KindDiscard && !b.inTransaction {
		return s.discard(b, statements[0])
	}
	b.simple = true
	b.addStatements(s, statements)
	b.append('Q', body)
	return nil
}

// discard answers DEALLOCATE ALL and DISCARD ALL without an upstream, since the
// session holds the statements and parameters that they drop.
func (s *session) discard(b *batch, statement sqltext.Statement) error {
	tag := "DEALLOCATE ALL"
	s.statements.clear()
	if statement.Name == "discard" {
		tag = "DISCARD ALL"
		s.settings.list = s.settings.initial
	}
	out, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode completion: %w", err)
	}
	b.localAnswer, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(out)
	return err
}

// addStatements adds statements that the batch executes. Those that need a
// dedicated connection fail the batch.
func (b *batch) addStatements(s *session, statements []sqltext.Statement) {
	b.setClass(statements)
	for _, statement := range statements {
		if statement.Kind == sqltext.KindSet {
			if err := s.settings.check(statement); err != nil {
				b.fail(err)
			}
		}
	}
	if err := unsupported(statements); err != nil {
		b.fail(err)
	}
	if b.readOnly {
		b.checkReadOnly(statements)
	}
	b.statements = append(b.statements, statements...)
}

// setClass sets the batch's class to the one named in a comment of the
// statements.
func (b *batch) setClass(statements []sqltext.Statement) {
	for _, statement := range statements {
		if statement.Class != "" {
			b.class = statement.Class
		}
	}
}

// unsupported returns an error if a statement can't run on a pooled connection.
func unsupported(statements []sqltext.Statement) error {
	for _, statement := range statements {
		switch statement.Kind {
		case sqltext.KindUnsupported:
			return &proxyError{code: codeNotSupported, message: statement.Unsupported + " is not supported through the proxy"}
		case sqltext.KindDiscard:
			return &proxyError{code: codeNotSupported, message: "DEALLOCATE and DISCARD have to be sent alone, as a simple query"}
		}
	}
	return nil
}

// checkReadOnly rejects statements that would let a transaction opened for
// reads continue as a write: the checks on the answers of a read don't suffice
// for a write.
func (b *batch) checkReadOnly(statements []sqltext.Statement) {
	for _, statement := range statements {
		if statement.Kind == sqltext.KindReadWrite {
			b.fail(&proxyError{code: codeNotSupported, message: "a transaction that began read only can't be made to write"})
		}
		if b.transactionEnded {
			b.fail(&proxyError{code: codeNotSupported, message: "the end of a read-only transaction has to be sent alone"})
		}
		b.transactionEnded = b.transactionEnded || statement.Kind == sqltext.KindCommit || statement.Kind == sqltext.KindRollback
	}
}

// access returns whether the batch needs the primary or may run on a replica.
func (b *batch) access() chervilladder.Access {
	if b.asWrite {
		return chervilladder.AccessWrite
	}
	for _, statement := range b.statements {
		switch statement.Kind {
		case sqltext.KindRead, sqltext.KindBeginRead:
		case sqltext.KindCommit, sqltext.KindRollback:
		default:
			return chervilladder.AccessWrite
		}
	}
	return chervilladder.AccessRead
}

// encode converts the batch for the executor.
func (b *batch) encode() chervilladder.Batch {
	return chervilladder.Batch{
		Payload:            b.payload,
		Needs:              b.needs,
		Closes:             b.endsTransaction(),
		Commits:            b.mayCommit(),
		TransactionIDQuery: b.transactionIDQuery(),
	}
}

// transactionIDQuery returns how the transaction's id can be queried, by which the outcome
// can be found if the answer is lost. A simple query outside a transaction leaves no place
// for that. Within a batch of the extended protocol there is one if all statements
// modify rows: other writes, such as VACUUM, may not run in a transaction.
func (b *batch) transactionIDQuery() chervilladder.TransactionIDQuery {
	if b.inTransaction {
		if b.endsTransaction() {
			return chervilladder.TransactionIDBefore
		}
		return chervilladder.TransactionIDNone
	}
	if b.simple || len(b.statements) == 0 {
		return chervilladder.TransactionIDNone
	}
	for _, statement := range b.statements {
		if !statement.ModifiesRows {
			return chervilladder.TransactionIDNone
		}
	}
	return chervilladder.TransactionIDWithin
}

func (b *batch) endsTransaction() bool {
	for _, statement := range b.statements {
		if statement.Kind == sqltext.KindCommit || statement.Kind == sqltext.KindRollback {
			return true
		}
	}
	return false
}

// mayCommit reports whether running the batch may make a change durable.
func (b *batch) mayCommit() bool {
	open := b.inTransaction
	for _, statement := range b.statements {
		switch statement.Kind {
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

// readAnswer reads the answer to count the prepared statements and to detect
// errors and rollbacks.
func (b *batch) readAnswer(payload []byte) {
	for len(payload) >= 5 {
		size := int(binary.BigEndian.Uint32(payload[1:])) + 1
		switch payload[0] {
		case '1':
			b.confirmedCount++
		case 'E':
			b.upstreamFailed = true
		case 'C':
			b.rolledBack = string(payload[5:min(size, 13)]) == "ROLLBACK"
		}
		if size > len(payload) {
			return
		}
		payload = payload[size:]
	}
}

// updateStatements updates the session's prepared statements once the batch has
// been answered.
func (b *batch) updateStatements(s *statements) {
	for _, name := range b.closed {
		s.remove(name)
	}
	for _, p := range b.preparations[:min(b.confirmedCount, len(b.preparations))] {
		if !p.dropped {
			s.add(p.name, p.prepared)
		}
	}
}
