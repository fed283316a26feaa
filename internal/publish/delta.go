package publish

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// Delta is the difference between a bundle and a later one. VMs relay deltas
// to each other, so that a change of one service among many stays small:
//
//	data, err := newer.DeltaSince(older).Encode()
//	…
//	d, err := publish.DecodeDelta(data)
//	newer, err := older.Apply(d)
type Delta struct {
	// Base is the revision that the delta applies to.
	Base chervilladder.Revision
	// Index is the later index, with only the services that changed.
	Index Index
	// Removed lists the services that the later index no longer names.
	Removed []chervilladder.ServiceID
	// Files holds the files in the order of the index.
	Files []servicefile.File
	// Digest is the hash of all services of the later index and their
	// contents.
	Digest string
}

// BaseError reports a delta that was applied to a bundle other than its base.
type BaseError struct {
	// Have is the bundle's revision.
	Have chervilladder.Revision
	// Base is the revision that the delta applies to. If it equals Have, the
	// contents differ.
	Base chervilladder.Revision
}

// Error names both revisions and says what to do.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the delta does not apply to the bundle of revision %d; its base is revision %d, and the revisions or their contents differ; request the whole bundle", e.Have, e.Base)
}

// DeltaSince returns the delta from an older bundle to this one.
func (b Bundle) DeltaSince(base Bundle) Delta {
	d := Delta{Base: base.Revision, Index: b.Index, Digest: digest(b.Index.Services)}
	d.Index.Services = nil
	old := base.filesByEntry()
	for i, e := range b.Index.Services {
		if _, ok := old[e]; !ok {
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

// Apply returns the later bundle, or a *BaseError if the delta has another
// base than this bundle.
func (b Bundle) Apply(d Delta) (Bundle, error) {
	if b.Revision != d.Base {
		return Bundle{}, &BaseError{Have: b.Revision, Base: d.Base}
	}
	later := Bundle{Revision: d.Index.Revision, Index: d.Index}
	later.Index.Services = nil
	for _, f := range b.filesAfter(d) {
		later.Index.Services = append(later.Index.Services, entryOf(f.Service, f.Text))
		later.Files = append(later.Files, f)
	}
	if digest(later.Index.Services) != d.Digest {
		return Bundle{}, &BaseError{Have: b.Revision, Base: d.Base}
	}
	return later, nil
}

// filesAfter returns the files of the later bundle, ordered by service id.
func (b Bundle) filesAfter(d Delta) []servicefile.File {
	replaced := make(map[chervilladder.ServiceID]bool)
	for _, s := range d.Removed {
		replaced[s] = true
	}
	for _, f := range d.Files {
		replaced[f.Service] = true
	}
	files := slices.Clone(d.Files)
	for _, f := range b.Files {
		if !replaced[f.Service] {
			files = append(files, f)
		}
	}
	slices.SortFunc(files, func(x, y servicefile.File) int {
		return strings.Compare(string(x.Service), string(y.Service))
	})
	return files
}

// digest returns the hash of a list of services and their contents.
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

// DecodeDelta decodes and validates the encoding of a delta.
func DecodeDelta(data []byte) (Delta, error) {
	var in deltaJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Delta{}, fmt.Errorf("decode a delta: %w", err)
	}
	if in.Index.Revision <= in.Base {
		return Delta{}, fmt.Errorf("decode the delta to revision %d: it is not above the base revision %d; request the whole bundle", in.Index.Revision, in.Base)
	}
	files, err := parseContents(in.Index.Services, in.Files)
	if err != nil {
		return Delta{}, fmt.Errorf("decode the delta to revision %d: %w", in.Index.Revision, err)
	}
	return Delta{Base: in.Base, Index: in.Index, Removed: in.Removed, Files: files, Digest: in.Digest}, nil
}
