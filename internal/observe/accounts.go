package observe

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// maxAccounts bounds the number of client accounts that have counters of their own. The
// others share those of otherAccounts.
const (
	maxAccounts   = 200
	otherAccounts = chervilladder.AccountID("(other)")
)

// accountCounters counts the commands of client accounts by their outcome.
type accountCounters struct {
	counters *blackboard.Table[chervilladder.AccountID, outcomeCounters]
	named    *atomic.Int64
}

// outcomeCounters are the counters of one account.
type outcomeCounters struct{ served, refused, denied, failed *metrics.Counter }

func newAccountCounters(set *metrics.Set) accountCounters {
	return accountCounters{
		counters: &blackboard.Table[chervilladder.AccountID, outcomeCounters]{New: func(id chervilladder.AccountID) *outcomeCounters {
			counter := func(outcome string) *metrics.Counter {
				return set.NewCounter(fmt.Sprintf("chervilladder_account_commands_total{account=%q,outcome=%q}", id, outcome))
			}
			return &outcomeCounters{served: counter("served"), refused: counter("refused"), denied: counter("denied"), failed: counter("failed")}
		}},
		named: new(atomic.Int64),
	}
}

// count counts a command of an account; of callers without an account it counts none.
func (a accountCounters) count(id chervilladder.AccountID, code chervilladder.Code) {
	if id == "" {
		return
	}
	c, known := a.counters.Find(id)
	if !known {
		if a.named.Add(1) > maxAccounts {
			id = otherAccounts
		}
		c = a.counters.Get(id)
	}
	switch code {
	case chervilladder.CodeNone:
		c.served.Inc()
	case chervilladder.CodeBusy:
		c.refused.Inc()
	case chervilladder.CodeDenied:
		c.denied.Inc()
	default:
		c.failed.Inc()
	}
}
