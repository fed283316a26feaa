package chervilladder

import (
	"encoding/json"
	"fmt"
)

// Revision numbers the published configurations. It only rises: a rollback
// publishes the old content as a new revision.
type Revision uint64

// Version is the version that the platform assigns to an object with each
// change. Version zero means that the object doesn't exist.
type Version uint64

// Era counts how often the platform's store has come back from an older copy of its
// contents. A later era may lack what the store has acknowledged in an earlier one,
// and gives its revisions out again. Zero means that the store doesn't tell its era.
type Era uint64

// StoreRevision is a revision of the platform's store. Revisions are ordered within an
// era only, so StoreRevisions are ordered by their era first:
//
//	if received.After(known) {
//		apply(received)
//	}
//
// The zero StoreRevision is before all others.
type StoreRevision struct {
	Era      Era
	Revision Revision
}

// After reports whether r is later than another revision.
func (r StoreRevision) After(other StoreRevision) bool {
	if r.Era != other.Era {
		return r.Era > other.Era
	}
	return r.Revision > other.Revision
}

// Covers reports whether r is the same as another revision or later.
func (r StoreRevision) Covers(other StoreRevision) bool { return !other.After(r) }

// Later returns the later of two revisions.
func (r StoreRevision) Later(other StoreRevision) StoreRevision {
	if other.After(r) {
		return other
	}
	return r
}

// In returns the revision in an era unless it bears one itself. Use it for a revision
// from a peer whose build knows no eras.
func (r StoreRevision) In(e Era) StoreRevision {
	if r.Era == 0 {
		r.Era = e
	}
	return r
}

// String returns the era and the revision, as in "2/113", or the revision alone if the
// store doesn't tell its era.
func (r StoreRevision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(uint64(r.Revision))
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Revision)
}

// MarshalJSON encodes the revision without its era, which messages to peers carry
// beside it: an earlier build expects a number.
func (r StoreRevision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Revision) }

// UnmarshalJSON decodes a revision without its era.
func (r *StoreRevision) UnmarshalJSON(b []byte) error {
	r.Era = 0
	return json.Unmarshal(b, &r.Revision)
}

// EarlierEraError reports an answer of the store from before it came back from a copy.
type EarlierEraError struct{ Answer, Known Era }

// Error names both eras.
func (e *EarlierEraError) Error() string {
	return fmt.Sprintf("the answer is of the store's era %d, and era %d has begun; try again", e.Answer, e.Known)
}
