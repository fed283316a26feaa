package burn

import (
	"bytes"
	"encoding/binary"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The geometry of all histograms: answer times in units of ten microseconds,
// up to an hour, to two significant digits. Longer times count as an hour.
const (
	unit              = 10 * time.Microsecond
	lowestValue       = 1
	highestValue      = int64(time.Hour / unit)
	significantDigits = 2

	// A bucket's index follows from the value's highest eight bits, as in
	// the library for two significant digits.
	subBucketBits = 8
	segmentBits   = subBucketBits - 1
	segmentLength = 1 << segmentBits
	// segmentCount covers the highest value.
	segmentCount = 23
)

// segment counts values of one power of two.
type segment [segmentLength]atomic.Uint32

// buckets is a histogram that several goroutines record into at once. Its
// segments are allocated when they are first needed.
type buckets struct {
	segments [segmentCount]atomic.Pointer[segment]
}

func valueOf(t time.Duration) int64 {
	return min(max(int64(t/unit), 0), highestValue)
}

// bucketOf returns the bucket of a value in units.
func bucketOf(value int64) int {
	exponent := bits.Len64(uint64(value|(1<<subBucketBits-1))) - subBucketBits
	return exponent<<segmentBits + int(value>>exponent)
}

// valueIn returns the lowest value of a bucket.
func valueIn(bucket int) int64 {
	if bucket < 1<<subBucketBits {
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

// packed holds the counts of buckets in the least memory: for each bucket that
// isn't empty the distance from the one before and the count, as varints.
type packed []byte

// pack returns the counts.
func (b *buckets) pack() packed {
	var p packed
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

// addTo adds the counts to a histogram of the library.
func (p packed) addTo(h *hdrhistogram.PackedHistogram) {
	bucket := 0
	for len(p) > 0 {
		distance, n := binary.Uvarint(p)
		p = p[n:]
		count, n := binary.Uvarint(p)
		p = p[n:]
		bucket += int(distance)
		// Every value of a bucket is in the range of the histogram.
		_ = h.RecordValues(valueIn(bucket), int64(count))
	}
}

func newHistogram() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(lowestValue, highestValue, significantDigits)
}
