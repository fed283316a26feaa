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

// writeError tells that the caller's connection failed, not the work.
type writeError struct{ err error }

// Error gives the cause.
func (e *writeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.err }

// write passes bytes on to the caller. One that takes nothing for too long is
// given up, since its work may hold a slot.
func (s *session) write(p []byte) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.WriteTimeout))
	if _, err := s.conn.Write(p); err != nil {
		return &writeError{err}
	}
	return nil
}

// relay sends a batch and passes the parts of its answer on. What was taken
// for a read and turns out to write is run again as a write: nothing of it was
// done, and nothing passed on.
func (s *session) relay(ctx context.Context, b *batch) error {
	if err := s.exchange.Send(b.encode()); err != nil {
		return err
	}
	assumed := b.assumedRead()
	var held []byte
	for {
		r, err := s.exchange.Recv()
		if err != nil {
			return err
		}
		if assumed {
			held = append(held, r.Payload...)
			switch verdictOf(held) {
			case verdictWrites:
				return s.runAsWrite(ctx, b, r.Last)
			case verdictPending:
				if !r.Last {
					continue
				}
			}
			r.Payload, assumed = held, false
		}
		b.watch(r.Payload)
		if r.Last {
			s.finish(b, r)
		}
		if err := s.write(r.Payload); err != nil || r.Last {
			return err
		}
	}
}

// assumedRead reports whether the batch is a lone one that is taken for a read
// because of its text.
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

// runAsWrite runs a batch again after an upstream refused it as a write.
func (s *session) runAsWrite(ctx context.Context, b *batch, answered bool) error {
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

// verdict is what the beginning of an answer says of a batch that was taken
// for a read.
type verdict uint8

const (
	// verdictPending waits for more of the answer.
	verdictPending verdict = iota
	// verdictReads means that the answer may be passed on.
	verdictReads
	// verdictWrites means that the upstream refused to write.
	verdictWrites
)

// verdictOf reads the beginning of an answer, of whole messages.
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

// finish records what the answer to a batch has changed.
func (s *session) finish(b *batch, r chervilladder.Reply) {
	b.answered = time.Now()
	s.seen = s.seen.Later(r.Seen)
	b.commit(&s.statements)
	s.settings.after(b, r.Open)
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

// sendReady tells the caller, behind what comes before, that it may go on
// outside a transaction.
func (s *session) sendReady(before []byte) error {
	out, err := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(before)
	if err != nil {
		return fmt.Errorf("encode ready message: %w", err)
	}
	return s.write(out)
}
