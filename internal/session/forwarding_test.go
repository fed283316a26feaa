package session

import (
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

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
