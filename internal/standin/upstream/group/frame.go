package group

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
)

// frame is one message between two members. Exactly one of its fields is set.
type frame struct {
	Heartbeat *heartbeat `json:"hello,omitempty"`
	Subscribe *subscribe `json:"subscribe,omitempty"`
	Entries   *entries   `json:"entries,omitempty"`
	Snapshot  *snapshot  `json:"snapshot,omitempty"`
}

// heartbeat carries a member's present state. Received is the last position of
// the member's log; no receiver reads it.
type heartbeat struct {
	Member   chervilladder.UpstreamID `json:"member"`
	Role     chervilladder.Role       `json:"role"`
	Term     chervilladder.Term       `json:"term"`
	Attempt  chervilladder.AttemptID  `json:"attempt"`
	Claim    chervilladder.Claim      `json:"claim"`
	Holder   chervilladder.VMID       `json:"holder"`
	Received chervilladder.Position   `json:"received"`
}

// subscribe asks the primary of a term for its log after a mark.
type subscribe struct {
	Term  chervilladder.Term `json:"term"`
	After chervilladder.Mark `json:"after"`
}

// entries are the log entries that follow those sent before. An empty list
// answers a subscriber whose log is a prefix of the primary's. LastBeforeTerm
// isn't the position of the first entry in List, but the last position of the
// primary's log at its promotion, before the entries of its term.
type entries struct {
	Term           chervilladder.Term     `json:"term"`
	LastBeforeTerm chervilladder.Position `json:"start"`
	List           []engine.Entry         `json:"list"`
}

// snapshot is the whole content of the primary. LastBeforeTerm is as in entries.
type snapshot struct {
	Term           chervilladder.Term     `json:"term"`
	LastBeforeTerm chervilladder.Position `json:"start"`
	Content        engine.Snapshot        `json:"content"`
}
