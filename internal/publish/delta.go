package publish

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// Delta is what turns one bundle into a later one. A change of one service
// among many costs peers little when they relay deltas:
//
//	data, err := newer.Since(older).Encode()
//	…
//	d, err := publish.DecodeDelta(data)
//	newer, err := older.Apply(d)
type Delta struct {
	// Base is the revision that the delta applies to.
	Base chervilladder.Revision
	// Index is the later index with the services that changed alone.
	Index Index
	// Removed are the services that the later index doesn't name.
	Removed []chervilladder.ServiceID
	// Files holds the files in the order of the index.
	Files []servicefile.File
	// Digest stands for all services of the later index.
	Digest string
}

// BaseError reports a delta that doesn't apply to a bundle.
type BaseError struct {
	Have chervilladder.Revision
	Base chervilladder.Revision
}

// Error says what to do instead.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the delta doesn't lead from revision %d, but from another state of revision %d; ask for the whole bundle", e.Have, e.Base)
}

// Since returns what turns an older bundle into this one.
func (b Bundle) Since(base Bundle) Delta {
	d := Delta{Base: base.Revision, Index: b.Index, Digest: digest(b.Index.Services)}
	d.Index.Services = nil
	held := base.held()
	for i, e := range b.Index.Services {
		if _, ok := held[e]; !ok {
			d.Index.Services = append(d.Index.Services, e)
			d.Files = append(d.Files, b.Files[i])
		}
	}
	for _, e := range base.Index.Services {
		if _, ok := b.Index.entry(e.Service); !ok {
			d.Removed = append(d.Removed, e.Service)
		}
	}
	return d
}

// Apply returns the later bundle, or a *BaseError if the delta is one of
// another bundle.
func (b Bundle) Apply(d Delta) (Bundle, error) {
	if b.Revision != d.Base {
		return Bundle{}, &BaseError{Have: b.Revision, Base: d.Base}
	}
	later := Bundle{Revision: d.Index.Revision, Index: d.Index}
	later.Index.Services = nil
	for _, f := range b.patched(d) {
		later.Index.Services = append(later.Index.Services, entryOf(f.Service, f.Text))
		later.Files = append(later.Files, f)
	}
	if digest(later.Index.Services) != d.Digest {
		return Bundle{}, &BaseError{Have: b.Revision, Base: d.Base}
	}
	return later, nil
}

// patched returns the files of the later bundle, in the order of their
// services.
func (b Bundle) patched(d Delta) []servicefile.File {
	gone := make(map[chervilladder.ServiceID]bool)
	for _, s := range d.Removed {
		gone[s] = true
	}
	for _, f := range d.Files {
		gone[f.Service] = true
	}
	files := slices.Clone(d.Files)
	for _, f := range b.Files {
		if !gone[f.Service] {
			files = append(files, f)
		}
	}
	slices.SortFunc(files, func(x, y servicefile.File) int {
		return strings.Compare(string(x.Service), string(y.Service))
	})
	return files
}

// digest stands for a list of services and their contents.
func digest(services []Entry) string {
	var b strings.Builder
	for _, e := range services {
		fmt.Fprintf(&b, "%s %s\n", e.Service, e.Hash)
	}
	return hashOf(b.String())
}

type deltaJSON struct {
	Base    chervilladder.Revision    `json:"base"`
	Index   Index                     `json:"index"`
	Removed []chervilladder.ServiceID `json:"removed,omitempty"`
	Files   []string                  `json:"files"`
	Digest  string                    `json:"digest"`
}

// Encode encodes the delta for a peer.
func (d Delta) Encode() ([]byte, error) {
	out := deltaJSON{Base: d.Base, Index: d.Index, Removed: d.Removed, Files: texts(d.Files), Digest: d.Digest}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode the delta to revision %d: %w", d.Index.Revision, err)
	}
	return data, nil
}

// DecodeDelta decodes and checks what a peer has encoded.
func DecodeDelta(data []byte) (Delta, error) {
	var in deltaJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Delta{}, fmt.Errorf("decode a delta: %w", err)
	}
	if in.Index.Revision <= in.Base {
		return Delta{}, fmt.Errorf("decode the delta to revision %d: it doesn't rise from revision %d", in.Index.Revision, in.Base)
	}
	files, err := parseContents(in.Index.Services, in.Files)
	if err != nil {
		return Delta{}, fmt.Errorf("decode the delta to revision %d: %w", in.Index.Revision, err)
	}
	return Delta{Base: in.Base, Index: in.Index, Removed: in.Removed, Files: files, Digest: in.Digest}, nil
}
