package burn

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram holds answer times. The zero value is empty. Its JSON is the
// standard encoding of HdrHistogram, version 2, in units of ten microseconds.
type Histogram struct {
	times *hdrhistogram.PackedHistogram
}

// Percentile returns the time within which a share of the answers came. It
// returns zero if there were none.
func (h Histogram) Percentile(percent float64) time.Duration {
	if h.times == nil {
		return 0
	}
	return time.Duration(h.times.ValueAtPercentile(percent)) * unit
}

// Count returns the number of answers.
func (h Histogram) Count() int64 {
	if h.times == nil {
		return 0
	}
	return h.times.TotalCount()
}

// add adds the times of a slice.
func (h *Histogram) add(times packed) {
	if len(times) == 0 {
		return
	}
	if h.times == nil {
		h.times = newHistogram()
	}
	times.addTo(h.times)
}

// merge adds the times of another histogram.
func (h *Histogram) merge(times *hdrhistogram.PackedHistogram) {
	if times == nil {
		return
	}
	if h.times == nil {
		h.times = newHistogram()
	}
	h.times.Merge(times)
}

// MarshalJSON encodes the histogram as a text.
func (h Histogram) MarshalJSON() ([]byte, error) {
	if h.Count() == 0 {
		return []byte(`""`), nil
	}
	text, err := h.times.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode a histogram: %w", err)
	}
	return json.Marshal(string(text))
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	h.times = nil
	if text == "" {
		return nil
	}
	times, err := hdrhistogram.DecodePacked([]byte(text))
	if err != nil {
		return fmt.Errorf("decode a histogram: %w", err)
	}
	h.merge(times) // into the one geometry
	return nil
}
