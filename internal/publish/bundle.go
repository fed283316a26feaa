package publish

import (
	"encoding/json"
	"fmt"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// Bundle is a whole published configuration. VMs relay it to each other, so
// that a VM that starts while the platform is down still gets the
// configuration in force.
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

// DecodeBundle decodes and validates the encoding of a bundle.
func DecodeBundle(data []byte) (Bundle, error) {
	var in bundleJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Bundle{}, fmt.Errorf("decode a bundle: %w", err)
	}
	if in.Revision != in.Index.Revision {
		return Bundle{}, fmt.Errorf("decode the bundle of revision %d: its index is of revision %d; request it from another peer", in.Revision, in.Index.Revision)
	}
	files, err := parseFiles(in.Index.Services, in.Files)
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

// parseFiles parses the service files that a peer sent and checks them against
// the index entries in the same message.
func parseFiles(entries []Entry, texts []string) ([]servicefile.File, error) {
	if len(entries) != len(texts) {
		return nil, fmt.Errorf("%d files for %d services; request them from another peer", len(texts), len(entries))
	}
	files := make([]servicefile.File, 0, len(texts))
	for i, text := range texts {
		f, err := parseFile(entries[i], text)
		if err != nil {
			return nil, err
		}
		files = append(files, *f)
	}
	return files, nil
}

// Catalogue returns the bundle as a catalogue for look-up by id.
func (b Bundle) Catalogue() (*chervilladder.Catalogue, error) {
	c, err := servicefile.Catalogue(b.Revision, b.Files)
	if err != nil {
		return nil, fmt.Errorf("resolve revision %d: %w", b.Revision, err)
	}
	return c, nil
}

// filesByEntry returns the files keyed by their index entries.
func (b Bundle) filesByEntry() map[Entry]servicefile.File {
	files := make(map[Entry]servicefile.File, len(b.Files))
	for i, f := range b.Files {
		files[b.Index.Services[i]] = f
	}
	return files
}
