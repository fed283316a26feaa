package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
)

// IndexName is the name of the one object of chervilladder.KindIndex.
const IndexName chervilladder.ObjectName = "current"

// KindHistory is the kind of the objects that hold replaced indexes. They have
// a kind of their own so that a watch of chervilladder.KindIndex doesn't return
// them.
const KindHistory chervilladder.ObjectKind = "history"

// HistoryLength is how many replaced indexes are kept. The platform can't delete
// objects, so a new one overwrites the oldest.
const HistoryLength = 1000

// Index describes a revision: who published it, and which files it consists of.
type Index struct {
	Revision  chervilladder.Revision  `json:"revision"`
	Attempt   chervilladder.AttemptID `json:"attempt"`
	Operator  string                  `json:"operator"`
	Published time.Time               `json:"published"`
	Note      string                  `json:"note"`
	// Services is ordered by service id.
	Services []Entry `json:"services"`
}

// Entry names the object that holds one service file.
type Entry struct {
	Service chervilladder.ServiceID  `json:"service"`
	Object  chervilladder.ObjectName `json:"object"`
	Hash    string                   `json:"hash"`
}

// entryOf returns the index entry of a service file. The object is named by the
// service id and the hash of the file.
func entryOf(service chervilladder.ServiceID, text string) Entry {
	hash := hashOf(text)
	return Entry{
		Service: service,
		Object:  chervilladder.ObjectName(string(service) + "-" + hash),
		Hash:    hash,
	}
}

// hashBytes is the length to which the SHA-256 of a service file is truncated.
const hashBytes = 16

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:hashBytes])
}

// entry returns the entry of a service.
func (x Index) entry(service chervilladder.ServiceID) (Entry, bool) {
	for _, e := range x.Services {
		if e.Service == service {
			return e, true
		}
	}
	return Entry{}, false
}

// Changed returns the services that differ between two indexes, ordered by id.
func (x Index) Changed(other Index) []chervilladder.ServiceID {
	hashes := make(map[chervilladder.ServiceID]string, len(other.Services))
	for _, e := range other.Services {
		hashes[e.Service] = e.Hash
	}
	var changed []chervilladder.ServiceID
	for _, e := range x.Services {
		if hashes[e.Service] != e.Hash {
			changed = append(changed, e.Service)
		}
		delete(hashes, e.Service)
	}
	for service := range hashes {
		changed = append(changed, service)
	}
	slices.Sort(changed)
	return changed
}

// stored is an index together with the version of its object.
type stored struct {
	Index
	version chervilladder.Version
}

// Current returns the index in force. If nothing has been published yet, it
// returns an empty index of revision zero.
func Current(ctx context.Context, p chervilladder.Platform) (Index, error) {
	s, err := current(ctx, p)
	return s.Index, err
}

func current(ctx context.Context, p chervilladder.Platform) (stored, error) {
	o, err := p.Get(ctx, chervilladder.KindIndex, IndexName)
	var missing *chervilladder.NotFoundError
	if errors.As(err, &missing) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, fmt.Errorf("read the index in force: %w", err)
	}
	return decodeIndex(o)
}

func decodeIndex(o chervilladder.Object) (stored, error) {
	if o.Version == 0 {
		return stored{}, nil
	}
	s := stored{version: o.Version}
	if err := json.Unmarshal(o.Value, &s.Index); err != nil {
		return stored{}, fmt.Errorf("read object %s/%s: %w; it is not a valid index; publish again with a compatible version of this program", o.Kind, o.Name, err)
	}
	return s, nil
}
