package upstream

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// chunkBytes is about how much of an answer is passed on at once.
const chunkBytes = 32 << 10

// maxPrepared bounds the statements that a connection keeps prepared.
const maxPrepared = 512

// chunk is a part of an answer that is read from an upstream.
type chunk struct {
	payload []byte
	// fenced holds the messages that tell the caller of success. They must
	// not be passed on before the proof that the batch waits for.
	fenced []byte
	// last is set when the answer to the batch is complete.
	last bool
	// status is the transaction status with last: I, T or E.
	status byte
	// failed is set with last when the batch ended in an error.
	failed bool
}

// onlyReady reports whether a part of an answer tells of nothing but its end.
func (k chunk) onlyReady() bool {
	return len(k.payload) == 0 && len(k.fenced) > 0 && k.fenced[0] == 'Z'
}

// send passes a batch to the upstream, with what it needs before it.
func (c *Conn) send(b chervilladder.Batch) error {
	c.parsing = c.parsing[:0]
	out := c.scratch[:0]
	var err error
	for _, s := range b.Needs {
		if out, err = c.prepare(out, s); err != nil {
			return err
		}
	}
	out = append(out, b.Payload...)
	c.scratch = out[:0]
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(true, err)
	}
	return nil
}

// prepare appends what makes a statement known to the connection.
func (c *Conn) prepare(out []byte, s chervilladder.Statement) ([]byte, error) {
	if s.Name != "" && c.prepared[s.Name] {
		return out, nil
	}
	parse := pgproto3.Parse{Name: s.Name, Query: s.SQL, ParameterOIDs: s.ParameterTypes}
	out, err := parse.Encode(out)
	if err != nil {
		return out, fmt.Errorf("encode statement: %w", err)
	}
	c.parsing = append(c.parsing, s.Name)
	if s.Name != "" {
		c.prepared[s.Name] = true
	}
	return out, nil
}

// next reads the next part of the answer. It returns as soon as something can
// be passed on and nothing more has arrived.
func (c *Conn) next(failed bool) (chunk, error) {
	k := chunk{failed: failed}
	for {
		m, err := c.readMessage(c.inbox[:0])
		if err != nil {
			return chunk{}, c.lost(true, err)
		}
		c.keepInbox(m)
		switch m[0] {
		case '1':
			if len(c.parsing) > 0 {
				c.parsing = c.parsing[1:]
				continue
			}
		case 'C':
			k.payload = append(k.payload, c.takeHeld()...)
			c.held = append(c.held[:0], m...)
			c.noteCompletion(m[headerBytes:])
			if isCommit(m[headerBytes:]) {
				k.fenced = bytes.Clone(c.takeHeld())
				return k, nil
			}
			continue
		case 'E':
			k.failed = true
			c.forgetPrepared()
		case 'Z':
			k.fenced = append(bytes.Clone(c.takeHeld()), m...)
			k.last, k.status = true, m[headerBytes]
			return k, nil
		case 'A':
			continue
		}
		k.payload = c.appendMessage(k.payload, m)
		if len(k.payload) >= chunkBytes || c.reader.Buffered() == 0 {
			return k, nil
		}
	}
}

// noteCompletion follows which statements change the session parameters of the
// connection.
func (c *Conn) noteCompletion(tag []byte) {
	if bytes.HasPrefix(tag, []byte("SET")) || bytes.HasPrefix(tag, []byte("RESET")) {
		c.settingsChanged = true
	}
}

// keepInbox keeps the memory of a message for the next one, unless it is large.
func (c *Conn) keepInbox(m []byte) {
	c.inbox = m[:0]
	if cap(m) > chunkBytes {
		c.inbox = nil
	}
}

// appendMessage appends a message, and before it what was kept back. The first
// one of a part makes room for all that has arrived.
func (c *Conn) appendMessage(payload, m []byte) []byte {
	held := c.takeHeld()
	if payload == nil {
		room := len(held) + len(m) + c.reader.Buffered()
		if room > readBufferBytes/2 {
			room = max(room, chunkBytes)
		}
		payload = make([]byte, 0, room)
	}
	payload = append(payload, held...)
	return append(payload, m...)
}

// takeHeld returns the command completion that is kept back until it is known
// whether it ends the answer.
func (c *Conn) takeHeld() []byte {
	held := c.held
	c.held = c.held[:0]
	return held
}

// forgetPrepared is called after an error: the statements of our own that
// were not answered yet are not prepared.
func (c *Conn) forgetPrepared() {
	for _, name := range c.parsing {
		delete(c.prepared, name)
	}
	c.parsing = c.parsing[:0]
}

// worn reports whether the connection holds too many prepared statements to
// be used again.
func (c *Conn) worn() bool {
	return len(c.prepared) > maxPrepared
}

// isCommit reports whether a command tag tells of a commit.
func isCommit(tag []byte) bool {
	return bytes.HasPrefix(tag, []byte("COMMIT"))
}

// setDeadline bounds the reads and writes of the connection.
func (c *Conn) setDeadline(t time.Time) {
	_ = c.conn.SetDeadline(t)
}

// cancelRunning asks the upstream, on a fresh connection, to cancel what runs
// on this one.
func (c *Conn) cancelRunning(ctx context.Context) error {
	out, err := (&pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	nc, err := dialPlain(ctx, c.upstream.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	_, err = nc.Write(out)
	return err
}
