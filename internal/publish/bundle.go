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
	data, err := json.Marshal(bundleJSON{Revision: b.Revision, Index: b.Index, Files: texts(b.Files)})
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
	if in.Revision != in.Index.Revision {
		return Bundle{}, fmt.Errorf("decode the bundle of revision %d: its index is of revision %d; ask another peer", in.Revision, in.Index.Revision)
	}
	files, err := parseContents(in.Index.Services, in.Files)
	if err != nil {
		return Bundle{}, fmt.Errorf("decode the bundle of revision %d: %w", in.Revision, err)
	}
	return Bundle{Revision: in.Revision, Index: in.Index, Files: files}, nil
}

func texts(files []servicefile.File) []string {
	texts := make([]string, 0, len(files))
	for _, f := range files {
		texts = append(texts, f.Text)
	}
	return texts
}

// parseContents checks the contents that a peer sent against the entries that
// it sent along.
func parseContents(entries []Entry, texts []string) ([]servicefile.File, error) {
	if len(entries) != len(texts) {
		return nil, fmt.Errorf("%d files for %d services; ask another peer", len(texts), len(entries))
	}
	files := make([]servicefile.File, 0, len(texts))
	for i, text := range texts {
		f, err := parseContent(entries[i], text)
		if err != nil {
			return nil, err
		}
		files = append(files, *f)
	}
	return files, nil
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
