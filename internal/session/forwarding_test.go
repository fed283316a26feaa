package session

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

// A VM must not send an upstream what a CR LF in another VM's request would make of it.
func TestForwardedRequestWithALineEndIsRejected(t *testing.T) {
	is := is.New(t)
	const smuggled = "x\r\nQUERY e0 WRITE 2b7 y"
	for _, p := range []forwardRequest{
		{Values: map[string]string{"who": smuggled}},
		{Values: map[string]string{smuggled: "ana"}},
		{Prepared: map[string]link.Prepared{"s1": {Shape: smuggled}}},
		{Commands: []chervilladder.Command{{ID: "1", Kind: chervilladder.CommandWrite, Rest: smuggled}}},
		{Commands: []chervilladder.Command{{ID: smuggled, Kind: chervilladder.CommandCommit}}},
	} {
		b, err := encode(p)
		is.NoErr(err)
		_, err = decodeForwardRequest(b)
		var invalid *chervilladder.InvalidFieldError
		is.True(errors.As(err, &invalid))
	}
}

// A forwarded request decodes to what was encoded, and decoding malformed input
// doesn't panic.
func FuzzForwarded(f *testing.F) {
	whole := forwardRequest{
		Route:    chervilladder.Route{Database: "bookings", Service: "agenda", Timeout: time.Second},
		Values:   map[string]string{"who": "ana"},
		Prepared: map[string]link.Prepared{"s1": {Shape: "x"}},
		Commands: []chervilladder.Command{{Kind: chervilladder.CommandRead, ID: "c1", Rest: "1a4"}},
	}
	text, err := encode(whole)
	if err != nil {
		f.Fatal(err)
	}
	back, err := decodeForwardRequest(text)
	if err != nil || back.Commands[0] != whole.Commands[0] || back.Route != whole.Route || back.Prepared["s1"] != whole.Prepared["s1"] {
		f.Fatalf("%v: %+v", err, back)
	}
	f.Add(text)
	f.Add([]byte{0x81, 0xa0})
	f.Fuzz(func(_ *testing.T, b []byte) {
		// Neither may panic.
		_, _ = decodeForwardRequest(b)
		_, _ = decodeForwardResponse(b)
	})
}
