package caller

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// prepared is a statement that a caller has prepared.
type prepared struct {
	// statement holds its upstream name, which depends only on its text and
	// parameter types, so that callers share the statements prepared on
	// pooled connections.
	statement  chervilladder.Statement
	statements []sqltext.Statement
}

func newPrepared(sql string, types []uint32) *prepared {
	return &prepared{
		statement:  chervilladder.Statement{Name: upstreamName(sql, types), SQL: sql, ParameterTypes: types},
		statements: sqltext.Scan(sql),
	}
}

// nameBytes is the length of the digest prefix used in a statement's name.
const nameBytes = 20

// upstreamName derives the name of a statement at upstreams. Different
// statements must never share a name, hence the cryptographic digest.
func upstreamName(sql string, types []uint32) string {
	in := make([]byte, 0, len(sql)+1+4*len(types))
	in = append(in, sql...)
	in = append(in, 0)
	for _, t := range types {
		in = binary.BigEndian.AppendUint32(in, t)
	}
	sum := sha256.Sum256(in)
	return "cl" + base32.HexEncoding.EncodeToString(sum[:nameBytes])
}

// statements holds a caller's prepared statements by the names that the caller
// uses. The unnamed statement has the empty name.
type statements struct {
	byName map[string]*prepared
}

func (s *statements) find(name string) (*prepared, bool) {
	p, ok := s.byName[name]
	return p, ok
}

func (s *statements) add(name string, p *prepared) {
	if s.byName == nil {
		s.byName = make(map[string]*prepared)
	}
	s.byName[name] = p
}

func (s *statements) remove(name string) {
	delete(s.byName, name)
}

func (s *statements) clear() {
	s.byName = nil
}
