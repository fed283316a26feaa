package lineserver

import (
	"bufio"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// The stand-in used to end messages at LF alone, so that no test with it could see a text
// that the product had cut there.
func TestOnlyCRLFEndsAMessage(t *testing.T) {
	is := is.New(t)
	messages := []string{"QUERY 1 WRITE 1a4 two\nlines", "\n", "", "\r", "a\rb\r", strings.Repeat("x\n", 10_000), strings.Repeat("y", maxLineBytes)}
	in := newScanner(iotest.HalfReader(strings.NewReader(strings.Join(messages, "\r\n") + "\r\nunfinished\n")))
	var got []string
	for in.Scan() {
		got = append(got, in.Text())
	}
	is.NoErr(in.Err())
	is.Equal(got, messages)
	in = newScanner(strings.NewReader(strings.Repeat("y", maxLineBytes+1) + "\r\n"))
	is.True(!in.Scan())
	is.Equal(in.Err(), bufio.ErrTooLong)
}
