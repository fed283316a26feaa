package session

import (
	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/intake"
)

// The limits of what a session keeps: its variables and prepared statements.
const (
	maxKeptNames = 1000
	maxKeptBytes = 4 << 20
	// freeKeptBytes is what each session may keep without being counted in the VM's
	// account.
	freeKeptBytes = 4 << 10
)

// kept is the size of a session's variables and prepared statements.
type kept struct {
	names, bytes int
	// counted is the part of bytes that the VM's account counts.
	counted intake.Bytes
}

// entry is a variable or a prepared statement. The zero entry is none.
type entry struct{ name, text string }

func (e entry) bytes() int { return len(e.name) + len(e.text) }

// count returns 1, or 0 for none.
func (e entry) count() int {
	if e == (entry{}) {
		return 0
	}
	return 1
}

// keptVariable returns the session's variable of a name.
func (s *session) keptVariable(name string) entry {
	value, ok := s.values[name]
	if !ok {
		return entry{}
	}
	return entry{name, value}
}

// keptStatement returns the session's prepared statement of a name.
func (s *session) keptStatement(name string) entry {
	p, ok := s.prepared[name]
	if !ok {
		return entry{}
	}
	return entry{name, p.Shape}
}

// replaceKept counts an entry in place of an old one. If the result exceeds a limit, it
// changes nothing and returns the refusal.
func (s *session) replaceKept(old, next entry) (refusal chervilladder.Result, ok bool) {
	k := kept{names: s.kept.names + next.count() - old.count(), bytes: s.kept.bytes + next.bytes() - old.bytes()}
	grows := k.names > s.kept.names || k.bytes > s.kept.bytes
	if grows && (k.names > maxKeptNames || k.bytes > maxKeptBytes) {
		return failure(chervilladder.CodeFailed, "the session has too many or too large variables and prepared statements"), false
	}
	k.counted = intake.Bytes(max(0, k.bytes-freeKeptBytes))
	switch more := k.counted - s.kept.counted; {
	case more > 0 && !s.m.c.Memory.Keep(more):
		return failure(chervilladder.CodeBusy, "the VM has no memory for the session's variables and prepared statements"), false
	case more < 0:
		s.m.c.Memory.Drop(-more)
	}
	s.kept = k
	return chervilladder.Result{}, true
}

// dropKept gives back the memory that the session's state takes.
func (s *session) dropKept() {
	s.m.c.Memory.Drop(s.kept.counted)
	s.kept = kept{}
}
