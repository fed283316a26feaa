package upstream

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// chunkBytes is the size from which a part of an answer is returned without waiting for
// more.
const chunkBytes = 32 << 10

// maxPrepared bounds the statements that a connection keeps prepared.
const maxPrepared = 512

// chunk is a part of an upstream's answer.
type chunk struct {
	payload []byte
	// success holds the messages that report success to the caller. They must not
	// be returned before the batch's proof.
	success []byte
	// last is set when the answer to the batch is complete.
	last bool
	// status is the transaction status with last: I, T or E.
	status byte
	// failed is set with last when the batch ended in an error.
	failed bool
}

// onlyReady reports whether the chunk holds nothing but the ReadyForQuery message.
func (k chunk) onlyReady() bool {
	return len(k.payload) == 0 && len(k.success) > 0 && k.success[0] == 'Z'
}

// send writes a batch to the upstream, preceded by the prepared statements it needs.
func (c *Conn) send(b chervilladder.Batch) error {
	c.parsing = c.parsing[:0]
	out := c.appendMarker(c.scratch[:0])
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

// prepare appends the Parse message for a statement unless it is already prepared on
// the connection.
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

// next reads the next part of the answer. It returns once there is something to return
// and no more is buffered.
func (c *Conn) next(failed bool) (chunk, error) {
	k := chunk{failed: failed}
	for {
		m, err := c.readAnswer(c.readBuffer[:0])
		if err != nil {
			return chunk{}, c.lost(true, err)
		}
		c.keepReadBuffer(m)
		switch m[0] {
		case '1':
			if len(c.parsing) > 0 {
				c.parsing = c.parsing[1:]
				continue
			}
		case 'C':
			k.payload = append(k.payload, c.takeCompletion()...)
			c.completion = append(c.completion[:0], m...)
			c.noteCompletion(m[headerBytes:])
			if isCommit(m[headerBytes:]) {
				k.success = bytes.Clone(c.takeCompletion())
				return k, nil
			}
			continue
		case 'E':
			k.failed = true
			c.forgetPrepared()
		case 'Z':
			k.success = append(bytes.Clone(c.takeCompletion()), m...)
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

// noteCompletion tracks the statements that change the connection's session parameters.
func (c *Conn) noteCompletion(tag []byte) {
	if bytes.HasPrefix(tag, []byte("SET")) || bytes.HasPrefix(tag, []byte("RESET")) {
		c.settingsChanged = true
	}
}

// keepReadBuffer reuses the memory of a message for the next one, unless it is large.
func (c *Conn) keepReadBuffer(m []byte) {
	c.readBuffer = m[:0]
	if cap(m) > chunkBytes {
		c.readBuffer = nil
	}
}

// appendMessage appends the command completion that was kept back, then a message. The
// first one of a chunk allocates room for all that is buffered.
func (c *Conn) appendMessage(payload, m []byte) []byte {
	completion := c.takeCompletion()
	if payload == nil {
		room := len(completion) + len(m) + c.reader.Buffered()
		if room > readBufferBytes/2 {
			room = max(room, chunkBytes)
		}
		payload = make([]byte, 0, room)
	}
	payload = append(payload, completion...)
	return append(payload, m...)
}

// takeCompletion returns the command completion that was kept back until it was known
// whether it ends the answer.
func (c *Conn) takeCompletion() []byte {
	completion := c.completion
	c.completion = c.completion[:0]
	return completion
}

// forgetPrepared is called after an error. The connection's own Parse messages that
// were not answered yet have not prepared their statements.
func (c *Conn) forgetPrepared() {
	for _, name := range c.parsing {
		delete(c.prepared, name)
	}
	c.parsing = c.parsing[:0]
}

// tooManyPrepared reports whether the connection has too many prepared statements to be
// reused.
func (c *Conn) tooManyPrepared() bool {
	return len(c.prepared) > maxPrepared
}

// isCommit reports whether a command tag is that of a commit.
func isCommit(tag []byte) bool {
	return bytes.HasPrefix(tag, []byte("COMMIT"))
}

// setDeadline bounds the reads and writes of the connection.
func (c *Conn) setDeadline(t time.Time) {
	_ = c.conn.SetDeadline(t)
}

// cancelRunning sends the upstream, on a new connection, a cancel request for the
// statement that runs on this one.
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
