package caller

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
)

// readBufferBytes is the size of the pooled buffer that a session holds from the
// first byte of a batch until it waits for the caller again.
const readBufferBytes = 8 << 10

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// messageHeaderBytes is the length of a message's type and length fields.
const messageHeaderBytes = 5

// reader reads messages from a caller. It holds no buffer between batches, to
// keep the memory of idle callers small.
type reader struct {
	conn     net.Conn
	buffered *bufio.Reader
	first    [1]byte
}

// wait blocks until the caller has sent something.
func (r *reader) wait() error {
	if r.buffered != nil && r.buffered.Buffered() > 0 {
		return nil
	}
	r.release()
	if _, err := io.ReadFull(r.conn, r.first[:]); err != nil {
		return err
	}
	r.buffered = bufferPool.Get().(*bufio.Reader)
	r.buffered.Reset(io.MultiReader(&byteReader{b: r.first[0]}, r.conn))
	// The next wait checks only the buffer, so the byte must be in it.
	_, err := r.buffered.Peek(1)
	return err
}

// release returns the empty buffer to the pool.
func (r *reader) release() {
	if r.buffered == nil {
		return
	}
	r.buffered.Reset(nil)
	bufferPool.Put(r.buffered)
	r.buffered = nil
}

// message reads one message and returns its type and body.
func (r *reader) message(limit int) (byte, []byte, error) {
	if err := r.wait(); err != nil {
		return 0, nil, err
	}
	var header [messageHeaderBytes]byte
	if _, err := io.ReadFull(r.buffered, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 {
		return 0, nil, &proxyError{code: codeProtocol, message: "malformed message length"}
	}
	if size > limit {
		return 0, nil, &proxyError{
			code:    codeLimit,
			message: fmt.Sprintf("message of %d bytes is over the limit of %d bytes", size, limit),
		}
	}
	body, err := r.body(size)
	return header[0], body, err
}

// bodyStepBytes is the size of the steps in which a message's memory is allocated
// as the message arrives, so that a header alone can't cause an allocation up to
// the limit.
const bodyStepBytes = 64 << 10

func (r *reader) body(size int) ([]byte, error) {
	body := make([]byte, 0, min(size, bodyStepBytes))
	for len(body) < size {
		start := len(body)
		body = append(body, make([]byte, min(size-start, bodyStepBytes))...)
		if _, err := io.ReadFull(r.buffered, body[start:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// byteReader is a reader that returns the byte read by wait.
type byteReader struct {
	b    byte
	done bool
}

func (o *byteReader) Read(p []byte) (int, error) {
	if o.done || len(p) == 0 {
		return 0, io.EOF
	}
	o.done = true
	p[0] = o.b
	return 1, nil
}
