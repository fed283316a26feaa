package burn

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram is a histogram of response times. The zero value is empty. Its JSON
// is the standard encoding of HdrHistogram, version 2, as a string, in units of
// ten microseconds.
type Histogram struct {
	times *hdrhistogram.PackedHistogram
}

// Percentile returns the given percentile of the response times, or zero if the
// histogram is empty.
func (h Histogram) Percentile(percent float64) time.Duration {
	if h.times == nil {
		return 0
	}
	return time.Duration(h.times.ValueAtPercentile(percent)) * timeUnit
}

// Count returns the number of responses.
func (h Histogram) Count() int64 {
	if h.times == nil {
		return 0
	}
	return h.times.TotalCount()
}

// add adds the times of one minute.
func (h *Histogram) add(times packedCounts) {
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

// MarshalJSON encodes the histogram as a string.
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
	h.merge(times) // converts to the parameters of newHistogram
	return nil
}
