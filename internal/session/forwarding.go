package session

import (
	"time"

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

// forwardResponse is the answer: the result and the upstream that returned it. A VM of an
// earlier build sends and reads only these two; the other fields are left out when zero.
type forwardResponse struct {
	Result   chervilladder.Result
	Upstream chervilladder.UpstreamID
	// Refused is why the last command wasn't run; empty if it was. The VM that forwarded
	// it decides whether another VM may run it.
	Refused chervilladder.Reason `msgpack:",omitempty"`
	// NoPrimary is set if the work failed and the VM doesn't reach the primary of the
	// service.
	NoPrimary bool `msgpack:",omitempty"`
	// Took is the time from the arrival of the commands to their result; zero in the
	// answer of an earlier build.
	Took time.Duration `msgpack:",omitempty"`
	// Wait is the expected wait for a slot, for work of the same priority and access.
	Wait time.Duration `msgpack:",omitempty"`
}

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// decodeForwardRequest decodes a request. It returns an *InvalidFieldError if upstreams
// can't be sent what the request needs.
func decodeForwardRequest(b []byte) (forwardRequest, error) {
	var p forwardRequest
	if err := msgpack.Unmarshal(b, &p); err != nil {
		return p, err
	}
	return p, p.validate()
}

// validate checks the commands, and those that set the variables and prepare the
// statements.
func (p *forwardRequest) validate() error {
	for _, c := range p.Commands {
		if err := c.Validate(); err != nil {
			return err
		}
	}
	for name, value := range p.Values {
		set := chervilladder.Command{Kind: chervilladder.CommandSet, Name: name, Rest: value}
		if err := set.Validate(); err != nil {
			return err
		}
	}
	for _, s := range p.Prepared {
		prepare := chervilladder.Command{Kind: chervilladder.CommandPrepare, Name: s.Name(), Rest: s.Shape}
		if err := prepare.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func decodeForwardResponse(b []byte) (forwardResponse, error) {
	var r forwardResponse
	err := msgpack.Unmarshal(b, &r)
	return r, err
}
