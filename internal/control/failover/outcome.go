package failover

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// Metrics holds the counters of attempts.
var Metrics = metrics.NewSet()

// outcome is how an attempt ended, in metrics.
type outcome string

// The outcomes that no single error stands for.
const (
	outcomeReplaced  outcome = "replaced"
	outcomeCorrected outcome = "corrected"
	outcomeOther     outcome = "other"
)

// failures are the outcomes of errors; the first that fits counts.
var failures = []struct {
	err error
	is  outcome
}{
	{errNotExclusive, "not-resumed"},
	{errUnreachable, "unreachable"},
	{errNoCandidate, "no-candidate"},
	{errLeadershipExpired, "leadership-expired"},
	{errChanged, "changed"},
	{errNotObserved, "not-observed"},
	{errCandidateLost, "candidate-lost"},
	{errCandidateChanged, "candidate-changed"},
	{errUpstreamsNotRead, "upstreams-not-read"},
	{errNotDemoted, "not-demoted"},
	{context.Canceled, "stopped"},
}

// outcomeOf returns how an attempt ended.
func outcomeOf(err error, replaces bool) outcome {
	if err == nil {
		if replaces {
			return outcomeReplaced
		}
		return outcomeCorrected
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f.is
		}
	}
	return outcomeOfType(err)
}

// outcomeOfType returns the outcome of an error that bears details.
func outcomeOfType(err error) outcome {
	var (
		notHolder  *notHolderError
		newEra     *newEraError
		conflict   *chervilladder.LeadershipConflictError
		superseded *supersededError
		behind     *behindError
		refused    *chervilladder.PromotionRefusedError
		panicked   *recovery.PanicError
	)
	switch {
	case errors.As(err, &notHolder):
		return "not-holder"
	case errors.As(err, &newEra):
		return "new-era"
	case errors.As(err, &conflict):
		return "leadership-conflict"
	case errors.As(err, &superseded):
		return "superseded"
	case errors.As(err, &behind):
		return "behind"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &panicked):
		return "panic"
	default:
		return outcomeOther
	}
}

// count counts an attempt.
func count(cause lead.Cause, o outcome) {
	Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_failover_attempts{cause=%q,outcome=%q}", string(cause), string(o))).Inc()
}
