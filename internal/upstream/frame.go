package upstream

import (
	"encoding/binary"
	"fmt"
	"io"
)

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// maxMessageBytes bounds one message of an upstream's answer.
const maxMessageBytes = 64 << 20

// readMessage appends the next whole message to buf and returns buf from the
// start of that message.
func (c *Conn) readMessage(buf []byte) ([]byte, error) {
	start := len(buf)
	header, err := c.reader.Peek(headerBytes)
	if err != nil {
		return nil, err
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
