package upstream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// maxMessageBytes bounds one message of an upstream's answer.
const maxMessageBytes = 64 << 20

// betweenMessagesError is a read error before a message's header is complete. Nothing of
// the message was consumed, so the connection can still be read after a timeout.
type betweenMessagesError struct{ err error }

// Error returns the text of the cause.
func (e *betweenMessagesError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *betweenMessagesError) Unwrap() error { return e.err }

// stalled reports whether reading an answer timed out while the connection can still be
// read.
func stalled(err error) bool {
	var between *betweenMessagesError
	return errors.As(err, &between) && errors.Is(err, os.ErrDeadlineExceeded)
}

// readMessage appends the next complete message to buf and returns only that message.
func (c *Conn) readMessage(buf []byte) ([]byte, error) {
	start := len(buf)
	header, err := c.reader.Peek(headerBytes)
	if err != nil {
		return nil, &betweenMessagesError{err}
	}
	size := int(binary.BigEndian.Uint32(header[1:])) + 1
	if size < headerBytes || size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes", size)
	}
	buf = append(buf, make([]byte, size)...)
	if _, err := io.ReadFull(c.reader, buf[start:]); err != nil {
		return nil, err
	}
	return buf[start:], nil
}
