package group

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
)

// frame is one message between two members. One of its fields is set.
type frame struct {
	Hello     *hello     `json:"hello,omitempty"`
	Subscribe *subscribe `json:"subscribe,omitempty"`
	Entries   *entries   `json:"entries,omitempty"`
	Snapshot  *snapshot  `json:"snapshot,omitempty"`
}

// hello is what a member says of itself, as a heartbeat and as the
// acknowledgement of what it has received.
type hello struct {
	Member   chervilladder.UpstreamID `json:"member"`
	Role     chervilladder.Role       `json:"role"`
	Term     chervilladder.Term       `json:"term"`
	Attempt  chervilladder.AttemptID  `json:"attempt"`
	Claim    chervilladder.Claim      `json:"claim"`
	Holder   chervilladder.VMID       `json:"holder"`
	Received chervilladder.Position   `json:"received"`
}

// subscribe asks a primary for its log after a mark.
type subscribe struct {
	Term  chervilladder.Term `json:"term"`
	After chervilladder.Mark `json:"after"`
}

// entries are log entries that follow what was sent before. The first after a
// subscription may be none; it says that the logs agree.
type entries struct {
	Term  chervilladder.Term     `json:"term"`
	Start chervilladder.Position `json:"start"`
	List  []engine.Entry         `json:"list"`
}

// snapshot is the whole content of the primary.
type snapshot struct {
	Term    chervilladder.Term     `json:"term"`
	Start   chervilladder.Position `json:"start"`
	Content engine.Snapshot        `json:"content"`
}
