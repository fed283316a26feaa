package burn

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Result is how a piece of work ended.
type Result uint8

// The results. A statement that the database answered with an error that the
// caller caused counts as answered.
const (
	// Answered work got its response, in time or late.
	Answered Result = iota
	// Refused work was reported as not run.
	Refused
	// Unknown work was reported as having an unknown outcome.
	Unknown
	// Failed work ended in a failure of the proxy or of an upstream.
	Failed
)

// Event is the end of one piece of work.
type Event struct {
	Service chervilladder.ServiceID
	Class   chervilladder.ClassID
	// Target is the class's target at the time of the event.
	Target time.Duration
	// Took is the time from the request to its response.
	Took   time.Duration
	Result Result
}

// outcome is how an event is counted: an answered one as good or late.
type outcome uint8

const (
	outcomeGood outcome = iota
	outcomeLate
	outcomeRefused
	outcomeUnknown
	outcomeFailed

	outcomeCount = 5
)

func (e Event) outcome() outcome {
	switch e.Result {
	case Answered:
		if e.Took > e.Target {
			return outcomeLate
		}
		return outcomeGood
	case Refused:
		return outcomeRefused
	case Unknown:
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

// Counts holds the number of events by outcome.
type Counts struct {
	// Good work was answered within its target.
	Good uint64 `json:"good"`
	// Late work was answered after its target.
	Late    uint64 `json:"late"`
	Refused uint64 `json:"refused"`
	Unknown uint64 `json:"unknown"`
	Failed  uint64 `json:"failed"`
}

// Total returns the number of all events.
func (c Counts) Total() uint64 { return c.Good + c.Bad() }

// Bad returns the number of events that burn the error budget.
func (c Counts) Bad() uint64 { return c.Late + c.Refused + c.Unknown + c.Failed }

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Good:    c.Good + o.Good,
		Late:    c.Late + o.Late,
		Refused: c.Refused + o.Refused,
		Unknown: c.Unknown + o.Unknown,
		Failed:  c.Failed + o.Failed,
	}
}
