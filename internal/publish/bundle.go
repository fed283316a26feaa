package publish

import (
	"encoding/json"
	"fmt"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// Bundle is a whole published configuration. VMs relay it to each other, so
// that one that starts while the platform is down learns what is in force.
type Bundle struct {
	Revision chervilladder.Revision
	Index    Index
	// Files holds the files in the order of the index.
	Files []servicefile.File
}

type bundleJSON struct {
	Revision chervilladder.Revision `json:"revision"`
	Index    Index                  `json:"index"`
	Files    []string               `json:"files"`
}

// Encode encodes the bundle for a peer.
func (b Bundle) Encode() ([]byte, error) {
	out := bundleJSON{Revision: b.Revision, Index: b.Index, Files: []string{}}
	for _, f := range b.Files {
		out.Files = append(out.Files, f.Text)
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", b.Revision, err)
	}
	return data, nil
}

// DecodeBundle decodes and checks what a peer has encoded.
func DecodeBundle(data []byte) (Bundle, error) {
	var in bundleJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Bundle{}, fmt.Errorf("decode a bundle: %w", err)
	}
	if in.Revision != in.Index.Revision || len(in.Files) != len(in.Index.Services) {
		return Bundle{}, fmt.Errorf("decode the bundle of revision %d: its index doesn't fit its files; ask another peer", in.Revision)
	}
	b := Bundle{Revision: in.Revision, Index: in.Index}
	for i, text := range in.Files {
		f, err := parseContent(in.Index.Services[i], text)
		if err != nil {
			return Bundle{}, fmt.Errorf("decode the bundle of revision %d: %w", in.Revision, err)
		}
		b.Files = append(b.Files, *f)
	}
	return b, nil
}

// Catalogue resolves the bundle for look-up.
func (b Bundle) Catalogue() (*chervilladder.Catalogue, error) {
	c, err := servicefile.Catalogue(b.Revision, b.Files)
	if err != nil {
		return nil, fmt.Errorf("resolve revision %d: %w", b.Revision, err)
	}
	return c, nil
}

// held returns the files by what the index says of them.
func (b Bundle) held() map[Entry]servicefile.File {
	held := make(map[Entry]servicefile.File, len(b.Files))
	for i, f := range b.Files {
		held[b.Index.Services[i]] = f
	}
	return held
}
