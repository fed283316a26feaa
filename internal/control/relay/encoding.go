package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxNewsBytes is the most that a part of a peer's news may hold.
const maxNewsBytes = 64 << 20

// encode returns a part of the news as it travels. Configurations are long, and
// much in them repeats.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decode(b []byte, into any) error {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	return json.NewDecoder(io.LimitReader(r, maxNewsBytes)).Decode(into)
}

// errNoRouting reports a configuration that is none.
var errNoRouting = errors.New("relay: the configuration is empty")

func decodeRouting(b []byte) (*chervilladder.Routing, error) {
	var r *chervilladder.Routing
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if r == nil || r.Revision == 0 {
		return nil, errNoRouting
	}
	return r, nil
}

// listed is what has changed in the list of upstreams, or the whole of it.
type listed struct {
	// At is the store's revision that the list is brought up to.
	At      chervilladder.Revision
	Whole   bool
	Entries []chervilladder.Registered
	Removed []chervilladder.UpstreamID
}

// errNoBase reports a change of a list that was never told as a whole.
var errNoBase = errors.New("relay: a change of upstreams without the list that it changes")

// upstreams is the list that a peer tells.
type upstreams map[chervilladder.UpstreamID]chervilladder.Registered

// apply returns the list after a change.
func (u upstreams) apply(b []byte) (upstreams, chervilladder.Revision, error) {
	var c listed
	if err := decode(b, &c); err != nil {
		return u, 0, err
	}
	if c.At == 0 || !c.Whole && u == nil {
		return u, 0, errNoBase
	}
	next := make(upstreams, len(u)+len(c.Entries))
	if !c.Whole {
		for id, r := range u {
			next[id] = r
		}
	}
	for _, r := range c.Entries {
		if !r.Born.IsZero() {
			r.Born = time.UnixMilli(r.Born.UnixMilli()) // as it is read from the store
		}
		next[r.ID] = r
	}
	for _, id := range c.Removed {
		delete(next, id)
	}
	return next, c.At, nil
}
