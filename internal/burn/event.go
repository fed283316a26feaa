package burn

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Result says how work ended.
type Result uint8

// The results. A statement that the database answered with an error of the
// caller's making is answered.
const (
	// Answered work got its answer, in time or late.
	Answered Result = iota
	// Refused work was reported as not run.
	Refused
	// Unknown work was reported as of unknown outcome.
	Unknown
	// Failed work ended in a failure of the system or of an upstream.
	Failed
)

// Event is the end of one piece of work.
type Event struct {
	Service chervilladder.ServiceID
	Class   chervilladder.ClassID
	// Target is the class's target at that time.
	Target time.Duration
	// Took is the time from the request to its answer.
	Took   time.Duration
	Result Result
}

// tally is what an event counts as.
type tally uint8

const (
	tallyGood tally = iota
	tallyLate
	tallyRefused
	tallyUnknown
	tallyFailed

	tallyCount = 5
)

func (e Event) tally() tally {
	switch e.Result {
	case Answered:
		if e.Took > e.Target {
			return tallyLate
		}
		return tallyGood
	case Refused:
		return tallyRefused
	case Unknown:
		return tallyUnknown
	default:
		return tallyFailed
	}
}

// Counts counts events by how they ended.
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

// Bad returns the number of events that burn the budget.
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
