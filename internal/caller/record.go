package caller

import (
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
)

// record counts how a batch has ended. What the caller itself cut short or
// cancelled is not counted.
func (s *session) record(b *batch, err error) {
	if s.server.Burn == nil || s.class == nil {
		return
	}
	result, ok := resultOf(err)
	if !ok {
		return
	}
	s.server.Burn.Record(burn.Event{
		Service: s.service,
		Class:   s.class.ID,
		Target:  s.class.Target,
		Took:    b.took(),
		Result:  result,
	})
}

// took leaves out the time in which the caller takes the answer.
func (b *batch) took() time.Duration {
	if b.answered.IsZero() {
		return time.Since(b.arrived)
	}
	return b.answered.Sub(b.arrived)
}

func resultOf(err error) (burn.Result, bool) {
	var wire *writeError
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	switch {
	case err == nil:
		return burn.Answered, true
	case errors.As(err, &wire):
		return 0, false
	case errors.As(err, &notRun):
		return burn.Refused, notRun.Reason != chervilladder.ReasonCancelled
	case errors.As(err, &unknown):
		return burn.Unknown, true
	default:
		return burn.Failed, true
	}
}
