package caller

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// writeError reports that the caller's connection failed, rather than the work.
type writeError struct{ err error }

// Error gives the cause.
func (e *writeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.err }

// write sends bytes to the caller. It fails if the caller doesn't read them
// within WriteTimeout, since the caller's work may occupy a slot meanwhile.
func (s *session) write(p []byte) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.WriteTimeout))
	if _, err := s.conn.Write(p); err != nil {
		return &writeError{err}
	}
	return nil
}

// relay sends a batch upstream and relays the parts of its answer. If a batch
// that was assumed to be a read turns out to write, it is run again as a write.
// That is safe, as none of it took effect and nothing was sent to the caller.
func (s *session) relay(ctx context.Context, b *batch) error {
	if err := s.exchange.Send(b.encode()); err != nil {
		return err
	}
	assumed := b.assumedRead()
	var buffered []byte
	for {
		r, err := s.exchange.Recv()
		if err != nil {
			return err
		}
		if assumed {
			buffered = append(buffered, r.Payload...)
			switch verdictOf(buffered) {
			case verdictWrites:
				return s.rerunAsWrite(ctx, b, r.Last)
			case verdictPending:
				if !r.Last {
					continue
				}
			}
			r.Payload, assumed = buffered, false
		}
		b.readAnswer(r.Payload)
		if r.Last {
			s.finish(b, r)
		}
		if err := s.write(r.Payload); err != nil || r.Last {
			return err
		}
	}
}

// assumedRead reports whether the batch is outside a transaction block and is
// treated as a read on the evidence of its text alone.
func (b *batch) assumedRead() bool {
	if b.inTransaction || b.access() != chervilladder.AccessRead {
		return false
	}
	for _, x := range b.statements {
		if x.Kind == sqltext.KindBeginRead {
			return false
		}
	}
	return len(b.statements) > 0
}

// rerunAsWrite runs a batch again as a write after an upstream has rejected it
// on a read-only connection. If answered is false, the rest of that answer is
// discarded first.
func (s *session) rerunAsWrite(ctx context.Context, b *batch, answered bool) error {
	for !answered {
		r, err := s.exchange.Recv()
		answered = err != nil || r.Last
	}
	s.closeExchange()
	b.asWrite = true
	if err := s.open(ctx, b); err != nil {
		return err
	}
	return s.relay(ctx, b)
}

// verdict is what the beginning of an answer tells about a batch that was
// assumed to be a read.
type verdict uint8

const (
	// verdictPending means that more of the answer is needed.
	verdictPending verdict = iota
	// verdictReads means that the answer may be sent to the caller.
	verdictReads
	// verdictWrites means that the upstream rejected a write.
	verdictWrites
)

// verdictOf returns the verdict on the beginning of an answer, which holds
// whole messages.
func verdictOf(payload []byte) verdict {
	for len(payload) >= messageHeaderBytes {
		size := int(binary.BigEndian.Uint32(payload[1:])) + 1
		if size < messageHeaderBytes || size > len(payload) {
			return verdictReads
		}
		switch payload[0] {
		case '1', '2', '3', 't', 'T', 'n', 'N', 'S':
		case 'E':
			var e pgproto3.ErrorResponse
			if err := e.Decode(payload[messageHeaderBytes:size]); err == nil && e.Code == codeReadOnly {
				return verdictWrites
			}
			return verdictReads
		default:
			return verdictReads
		}
		payload = payload[size:]
	}
	return verdictPending
}

// finish updates the session after the last part of an answer.
func (s *session) finish(b *batch, r chervilladder.Reply) {
	b.answered = time.Now()
	s.seen = s.seen.Later(r.Seen)
	b.updateStatements(&s.statements)
	s.settings.applyBatch(b, r.Open)
	s.keepPortals(b, r.Open)
	if !r.Open {
		s.closeExchange()
	}
}

func (s *session) closeExchange() {
	if s.exchange == nil {
		return
	}
	s.setRunning(nil)
	s.exchange.Close()
	s.exchange = nil
}

// sendError sends an error and a ReadyForQuery. Within a transaction it sends
// nothing and returns a *fatalError, with which the session ends.
func (s *session) sendError(err error, inTransaction bool) error {
	if inTransaction {
		return fatal(err)
	}
	out, encodeErr := response(err).Encode(nil)
	if encodeErr != nil {
		return encodeErr
	}
	return s.sendReady(out)
}

// sendReady sends the encoded messages in before, then a ReadyForQuery outside
// a transaction.
func (s *session) sendReady(before []byte) error {
	out, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(before)
	if err != nil {
		return fmt.Errorf("encode ready message: %w", err)
	}
	return s.write(out)
}
