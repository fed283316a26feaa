package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder"
)

// maxUpdateBytes bounds the decompressed size of a part of a peer's update.
const maxUpdateBytes = 64 << 20

// compressors holds compressors for reuse. A new one takes over a megabyte, far more than
// most updates.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// decompressors holds decompressors for reuse.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// encode returns a part of an update in its wire format, JSON with DEFLATE
// compression: configurations are long and repetitive.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decode(b []byte, into any) error {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(r, maxUpdateBytes)).Decode(into)
}

// errNoRouting reports a configuration without content or revision.
var errNoRouting = errors.New("relay: the peer sent a configuration that is empty or has no revision")

func decodeRouting(b []byte) (*chervilladder.Routing, error) {
	var r *chervilladder.Routing
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	if r == nil || r.Revision.Revision == 0 {
		return nil, errNoRouting
	}
	return r, nil
}

// listChange is a change of the list of upstreams, or the whole list.
type listChange struct {
	// At is the store's revision of the list after the change.
	At      chervilladder.StoreRevision
	Whole   bool
	Entries []chervilladder.Registered
	Removed []chervilladder.UpstreamID
	// DrainingFor says for how long upstreams of the list drain, as far as the sender
	// knows.
	DrainingFor map[chervilladder.UpstreamID]time.Duration `json:",omitempty"`
}

// errNoBase reports a change of a list that was never received as a whole.
var errNoBase = errors.New("relay: the peer sent a change of upstreams before the whole list, or without a revision")

// upstreams is the list of registered upstreams that a peer has sent.
type upstreams map[chervilladder.UpstreamID]chervilladder.Registered

// apply returns the list after an encoded change, and the change.
func (u upstreams) apply(b []byte) (upstreams, listChange, error) {
	var c listChange
	if err := decode(b, &c); err != nil {
		return u, listChange{}, err
	}
	if c.At.Revision == 0 || !c.Whole && u == nil {
		return u, listChange{}, errNoBase
	}
	next := make(upstreams, len(u)+len(c.Entries))
	if !c.Whole {
		for id, r := range u {
			next[id] = r
		}
	}
	for _, r := range c.Entries {
		if !r.Born.IsZero() {
			r.Born = time.UnixMilli(r.Born.UnixMilli()) // as read from the store, in milliseconds
		}
		next[r.ID] = r
	}
	for _, id := range c.Removed {
		delete(next, id)
	}
	return next, c, nil
}
