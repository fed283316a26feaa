// Package record writes each database's primary and owner to the platform, for
// operators and as history. No decision is based on these records: the members of a
// group determine its primary, and the claim at the primary determines the owner.
// Only daemon.Run starts it.
package record

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Record says which member of a group is its primary, and which VM owns the
// database.
type Record struct {
	Database chervilladder.DatabaseID `json:"database"`
	Primary  chervilladder.UpstreamID `json:"primary"`
	Term     chervilladder.Term       `json:"term"`
	Claim    chervilladder.Claim      `json:"claim"`
	Owner    chervilladder.VMID       `json:"owner"`
	// Attempt identifies the write, so that its writer recognises it.
	Attempt chervilladder.AttemptID `json:"attempt"`
	// Since is when the writer first tried to write this state.
	Since time.Time `json:"since"`
}

// Newer reports whether a record is of a later term, or of a later claim in
// the same term, than another one.
func (r Record) Newer(other Record) bool {
	if r.Term != other.Term {
		return r.Term > other.Term
	}
	return r.Claim > other.Claim
}

// encode returns a record as an object for a write on top of a version.
func encode(r Record, v chervilladder.Version) (chervilladder.Object, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return chervilladder.Object{}, fmt.Errorf("record of %s: %w", r.Database, err)
	}
	return chervilladder.Object{
		Kind: chervilladder.KindGroup, Name: chervilladder.ObjectName(r.Database), Version: v, Value: value,
	}, nil
}

// decode returns the record in an object. A malformed record counts as older than
// any other, so that it is replaced.
func decode(o chervilladder.Object) Record {
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Record{}
	}
	return r
}
