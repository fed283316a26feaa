package repeat

import (
	"strconv"
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
	d := xxhash.New()
	field := func(s string) {
		// A length before each field keeps its border.
		_, _ = d.WriteString(strconv.Itoa(len(s)) + " ")
		_, _ = d.WriteString(s) // never fails
	}
	for _, row := range r.Rows {
		field(row)
	}
	field(string(r.Signature))
	field(r.Text)
	field(r.Mark.String())
	field(strconv.Itoa(len(r.Rows)) + "/" + strconv.Itoa(int(r.Code)) + "/" + strconv.Itoa(int(r.State)))
	a := answer{whole: fingerprint(d.Sum64()), at: now}
	a.key = a.whole
	if r.Code == chervilladder.CodeNone && Signed.fits(r) {
		a.key = fingerprint(xxhash.Sum64String(string(r.Signature)))
	}
	return a
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
