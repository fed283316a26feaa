package session

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

// forwardRequest is what a VM sends to another one that hosts the service: commands
// of one session. The result of the last one that runs is returned.
type forwardRequest struct {
	// Route is the session's route at the VM that forwards.
	Route chervilladder.Route
	// Values and Prepared are the session variables and prepared statements that
	// the commands need.
	Values   map[string]string
	Prepared map[string]link.Prepared
	Commands []chervilladder.Command
}

// forwardResponse is the answer: the result and the upstream that returned it.
type forwardResponse struct {
	Result   chervilladder.Result
	Upstream chervilladder.UpstreamID
}

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

func decodeForwardRequest(b []byte) (forwardRequest, error) {
	var p forwardRequest
	err := msgpack.Unmarshal(b, &p)
	return p, err
}

func decodeForwardResponse(b []byte) (forwardResponse, error) {
	var r forwardResponse
	err := msgpack.Unmarshal(b, &r)
	return r, err
}
