package session

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

// passed is what one VM passes to another that hosts the service: commands of
// one session, of which the last one's result is wanted.
type passed struct {
	// Route is the route by which the session's VM serves it.
	Route chervilladder.Route
	// Values and Prepared are what the commands need of the session.
	Values   map[string]string
	Prepared map[string]link.Prepared
	Commands []chervilladder.Command
}

// returned is the answer: the result, and which upstream gave it.
type returned struct {
	Result   chervilladder.Result
	Upstream chervilladder.UpstreamID
}

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

func decodePassed(b []byte) (passed, error) {
	var p passed
	err := msgpack.Unmarshal(b, &p)
	return p, err
}

func decodeReturned(b []byte) (returned, error) {
	var r returned
	err := msgpack.Unmarshal(b, &r)
	return r, err
}
