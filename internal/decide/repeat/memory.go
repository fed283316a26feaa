package repeat

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// rememberFor is how long an answer is remembered, and minRemembered and maxRemembered how
// many are at least and at most. A repeat that comes later isn't recognised.
const (
	rememberFor   = 10 * time.Second
	minRemembered = 64
	maxRemembered = 4096
)

// fingerprint is a hash of an answer or of a part of it.
type fingerprint uint64

// answer is what is remembered of one answer.
type answer struct {
	// key is the hash of the signature; for an answer without one, of the whole.
	key, whole fingerprint
	at         time.Time
	// number counts the answers of the connection.
	number int
}

func remember(r chervilladder.Result, now time.Time) answer {
	var d digest
	d.Reset()
	d.number(uint64(len(r.Rows)))
	for _, row := range r.Rows {
		d.text(row)
	}
	d.text(string(r.Signature))
	d.number(uint64(r.Code))
	d.text(r.Text)
	d.number(uint64(r.State))
	d.number(uint64(r.Mark.Term))
	d.number(uint64(r.Mark.Position))
	a := answer{whole: fingerprint(d.Sum64()), at: now}
	a.key = a.whole
	if r.Code == chervilladder.CodeNone && Signed.fits(r) {
		a.key = fingerprint(xxhash.Sum64String(string(r.Signature)))
	}
	return a
}

// digest hashes fields so that a text can't run into the next one.
type digest struct{ xxhash.Digest }

func (d *digest) number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:]) // never fails
}

func (d *digest) text(s string) {
	d.number(uint64(len(s)))
	_, _ = d.WriteString(s) // never fails
}

// memory holds the latest answers. Equal ones are held once.
type memory struct {
	byKey map[fingerprint]answer
	// order holds the answers as they came. An equal answer that came later replaces
	// the one in byKey.
	order []answer
}

// find returns the remembered answer with the same key.
func (m *memory) find(a answer) (answer, bool) {
	earlier, ok := m.byKey[a.key]
	return earlier, ok
}

func (m *memory) add(a answer) {
	if m.byKey == nil {
		m.byKey = make(map[fingerprint]answer)
	}
	m.byKey[a.key] = a
	m.order = append(m.order, a)
	for len(m.order) > maxRemembered || len(m.order) > minRemembered && a.at.Sub(m.order[0].at) > rememberFor {
		m.forgetOldest()
	}
}

// count returns how many equal answers are remembered up to a number and after it.
func (m *memory) count(whole fingerprint, number int) (before, after int) {
	for _, a := range m.order {
		switch {
		case a.whole != whole:
		case a.number <= number:
			before++
		default:
			after++
		}
	}
	return before, after
}

func (m *memory) forgetOldest() {
	oldest := m.order[0]
	m.order = m.order[1:]
	if m.byKey[oldest.key].at.Equal(oldest.at) {
		delete(m.byKey, oldest.key)
	}
}
