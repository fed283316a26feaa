package repeat

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilladder/chervilladder"
)

// maxRemembered is how many answers a memory holds. A repeat that comes later than so many
// other answers isn't recognised.
const maxRemembered = 256

// fingerprint is a hash of an answer or of a part of it.
type fingerprint uint64

// answer is what is remembered of one answer.
type answer struct {
	// key is the hash of the signature; for an answer without one, of the whole.
	key, whole fingerprint
	at         time.Time
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

// memory holds the latest answers, oldest first. Equal ones are held once.
type memory struct{ answers []answer }

// find returns the remembered answer with the same key.
func (m *memory) find(a answer) (answer, bool) {
	if i := m.index(a); i >= 0 {
		return m.answers[i], true
	}
	return answer{}, false
}

func (m *memory) index(a answer) int {
	for i := len(m.answers) - 1; i >= 0; i-- {
		if m.answers[i].key == a.key {
			return i
		}
	}
	return -1
}

func (m *memory) add(a answer) {
	oldest := 0
	if i := m.index(a); i >= 0 {
		oldest = i
	} else if len(m.answers) < maxRemembered {
		m.answers = append(m.answers, a)
		return
	}
	copy(m.answers[oldest:], m.answers[oldest+1:])
	m.answers[len(m.answers)-1] = a
}
