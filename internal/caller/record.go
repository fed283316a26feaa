package caller

import (
	"errors"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
)

// record records the result and duration of a batch for the error budgets. It
// skips batches that the caller cancelled or disconnected from.
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

// took returns the batch's duration, without the time that sending the last part
// of the answer to the caller takes.
func (b *batch) took() time.Duration {
	if b.answered.IsZero() {
		return time.Since(b.arrived)
	}
	return b.answered.Sub(b.arrived)
}

func resultOf(err error) (burn.Result, bool) {
	var writeErr *writeError
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	switch {
	case err == nil:
		return burn.Answered, true
	case errors.As(err, &writeErr):
		return 0, false
	case errors.As(err, &notRun):
		return burn.Refused, notRun.Reason != chervilladder.ReasonCancelled
	case errors.As(err, &unknown):
		return burn.Unknown, true
	default:
		return burn.Failed, true
	}
}
