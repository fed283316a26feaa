package upstream

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

// Each request on a connection begins with a marker: the description of an empty
// statement, whose only parameter has the request's number as its type. The upstream
// returns the type at the beginning of its answer, so an answer that it sends a second time
// isn't taken for the answer to a later request. An empty statement runs nothing, takes no
// snapshot, and is accepted in a failed transaction block.
const (
	// markerParse and markerDescribe are the messages of a marker, without the number
	// that ends the first.
	markerParse    = "P\x00\x00\x00\x0c\x00\x00\x00\x01"
	markerDescribe = "D\x00\x00\x00\x06S\x00"
	// markerAnswer lists the types of the messages that answer a marker: ParseComplete,
	// ParameterDescription and NoData.
	markerAnswer = "1tn"
	// refusedMarkerAnswer is the answer of an upstream that refuses a marker.
	refusedMarkerAnswer = "E"
	// markerBase is added to a request's number. The sum isn't the id of a type that a
	// caller's statement can have: upstreams assign those in ascending order.
	markerBase = 3 << 30
)

// outOfOrderError reports a message that isn't part of the answer to the last request.
type outOfOrderError struct{ kind byte }

// Error returns the type of the message.
func (e *outOfOrderError) Error() string {
	return fmt.Sprintf("message %q is not part of the answer to the last request", e.kind)
}

// detectNumbering finds out whether the upstream returns the number of a marker: the
// protocol doesn't oblige it to describe a parameter that the statement doesn't use.
func (c *Conn) detectNumbering() error {
	out, err := (&pgproto3.Sync{}).Encode(c.appendMarker(nil))
	if err != nil {
		return fmt.Errorf("encode marker: %w", err)
	}
	if _, err := c.conn.Write(out); err != nil {
		return c.lost(false, err)
	}
	c.markerLeft = ""
	types, returned := "", false
	for {
		m, err := c.readMessage(nil)
		if err != nil {
			return c.lost(false, err)
		}
		if isAsynchronous(m) {
			continue
		}
		if m[0] == 'Z' {
			break
		}
		types += string(m[:1])
		if number, numbered := markerNumber(m); numbered {
			returned = c.requests.Accept(number)
		}
	}
	if types != markerAnswer && types != refusedMarkerAnswer {
		return c.lost(false, fmt.Errorf("unexpected messages %q answer a marker", types))
	}
	c.unnumbered = !returned
	return nil
}

// appendMarker begins a request with its marker.
func (c *Conn) appendMarker(out []byte) []byte {
	if c.unnumbered {
		return out
	}
	c.markerLeft = markerAnswer
	out = append(out, markerParse...)
	out = binary.BigEndian.AppendUint32(out, markerBase+uint32(c.requests.Next()))
	return append(out, markerDescribe...)
}

// readAnswer returns the next message of the answer to the last request, without the
// answer to its marker. Its memory is that of buf if it fits. If the message is part of
// another answer, readAnswer closes the connection.
func (c *Conn) readAnswer(buf []byte) ([]byte, error) {
	if err := c.readMarker(); err != nil {
		return nil, err
	}
	m, err := c.readMessage(buf)
	if err != nil {
		return nil, err
	}
	if beginsOtherAnswer(m) {
		return nil, c.outOfOrder(m)
	}
	return m, nil
}

// readMarker reads the answer to the last request's marker, or what is left of it after a
// timeout.
func (c *Conn) readMarker() error {
	for c.markerLeft != "" {
		m, err := c.readMessage(c.readBuffer[:0])
		if err != nil {
			return err
		}
		c.keepReadBuffer(m)
		if isAsynchronous(m) {
			continue
		}
		if !c.acceptMarker(m) {
			return c.outOfOrder(m)
		}
		c.markerLeft = c.markerLeft[1:]
	}
	return nil
}

// acceptMarker reports whether a message is the next one of the answer to the last
// request's marker.
func (c *Conn) acceptMarker(m []byte) bool {
	if m[0] != c.markerLeft[0] {
		return false
	}
	if m[0] != 't' {
		return true
	}
	number, numbered := markerNumber(m)
	return numbered && c.requests.Accept(number)
}

// outOfOrder closes the connection, whose later messages can't be matched to requests.
func (c *Conn) outOfOrder(m []byte) error {
	c.Close()
	return &outOfOrderError{m[0]}
}

// beginsOtherAnswer reports whether a message after the marker begins another
// answer: it is an Authentication message or part of a marker.
func beginsOtherAnswer(m []byte) bool {
	_, numbered := markerNumber(m)
	return numbered || m[0] == 'R'
}

// isAsynchronous reports whether a message may come at any time: a NotificationResponse, a
// NoticeResponse or a ParameterStatus.
func isAsynchronous(m []byte) bool {
	return m[0] == 'A' || m[0] == 'N' || m[0] == 'S'
}

// markerNumber returns the number of the request if a message is the ParameterDescription
// of a marker.
func markerNumber(m []byte) (answer.RequestNumber, bool) {
	const countBytes, typeBytes = 2, 4
	if m[0] != 't' || len(m) != headerBytes+countBytes+typeBytes {
		return 0, false
	}
	n := binary.BigEndian.Uint32(m[headerBytes+countBytes:])
	if n < markerBase {
		return 0, false
	}
	return answer.RequestNumber(n - markerBase), true
}
