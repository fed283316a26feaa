package burn

import (
	"bytes"
	"encoding/binary"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The parameters of all histograms: response times in units of ten
// microseconds, up to an hour, with two significant digits. Longer times are
// recorded as an hour.
const (
	timeUnit          = 10 * time.Microsecond
	lowestValue       = 1
	highestValue      = int64(time.Hour / timeUnit)
	significantDigits = 2

	// A bucket holds the values that have the same highest eight bits and the
	// same length in bits, as in the library at two significant digits. Values
	// below 256 have a bucket each.
	precisionBits = 8
	// segmentBits is the number of bits of a bucket's index within its segment.
	segmentBits   = precisionBits - 1
	segmentLength = 1 << segmentBits
	// segmentCount is the number of segments up to highestValue.
	segmentCount = 23
)

// segment holds the counters of the values from 2^n to 2^(n+1)-1; the first one,
// of those from 0 to 127.
type segment [segmentLength]atomic.Uint32

// buckets is a histogram that goroutines can record into concurrently. Its
// segments are allocated on first use.
type buckets struct {
	segments [segmentCount]atomic.Pointer[segment]
}

func valueOf(t time.Duration) int64 {
	return min(max(int64(t/timeUnit), 0), highestValue)
}

// bucketOf returns the index of the bucket of a value, given in units.
func bucketOf(value int64) int {
	exponent := bits.Len64(uint64(value|(1<<precisionBits-1))) - precisionBits
	return exponent<<segmentBits + int(value>>exponent)
}

// lowestIn returns the lowest value of a bucket.
func lowestIn(bucket int) int64 {
	if bucket < 1<<precisionBits {
		return int64(bucket)
	}
	exponent := bucket>>segmentBits - 1
	return int64(bucket-exponent<<segmentBits) << exponent
}

func (b *buckets) record(t time.Duration) {
	bucket := bucketOf(valueOf(t))
	p := &b.segments[bucket>>segmentBits]
	s := p.Load()
	if s == nil {
		p.CompareAndSwap(nil, new(segment))
		s = p.Load()
	}
	s[bucket&(segmentLength-1)].Add(1)
}

// packedCounts is a compact encoding of buckets: for each non-empty bucket, the
// distance from the previous one and the count, as varints.
type packedCounts []byte

// pack returns the counts in packed form.
func (b *buckets) pack() packedCounts {
	var p packedCounts
	last := 0
	for i := range b.segments {
		s := b.segments[i].Load()
		if s == nil {
			continue
		}
		for j := range s {
			n := s[j].Load()
			if n == 0 {
				continue
			}
			bucket := i<<segmentBits + j
			p = binary.AppendUvarint(p, uint64(bucket-last))
			p = binary.AppendUvarint(p, uint64(n))
			last = bucket
		}
	}
	return bytes.Clone(p)
}

// addTo adds the counts to a library histogram.
func (p packedCounts) addTo(h *hdrhistogram.PackedHistogram) {
	bucket := 0
	for len(p) > 0 {
		distance, n := binary.Uvarint(p)
		p = p[n:]
		count, n := binary.Uvarint(p)
		p = p[n:]
		bucket += int(distance)
		// RecordValues can't fail: the values of all buckets are in the
		// histogram's range.
		_ = h.RecordValues(lowestIn(bucket), int64(count))
	}
}

func newHistogram() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(lowestValue, highestValue, significantDigits)
}
