package quota

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
)

// Metrics counts the operations that were lent, borrowed and refused.
var Metrics = metrics.NewSet()

var lentTotal = Metrics.NewCounter("chervilladder_quota_lent_operations_total")

const (
	// maxNamedAccounts bounds the accounts with counters and log lines of their own;
	// the others share one set of counters.
	maxNamedAccounts = 200
	otherAccounts    = "other"
	// refusalsEndAfter is after how long without a refusal an account counts as
	// admitted again.
	refusalsEndAfter = 10 * time.Second
)

// report holds what is reported of one account.
type report struct {
	named                      bool
	offered, borrowed, refused *metrics.Counter
	// reported is how many refusals have been counted. refusingSince is when the current
	// series of refusals began, zero without one; atFirst is how many had been counted
	// then.
	reported, atFirst            int64
	refusingSince, lastRefusedAt time.Time
}

// newReport returns the report of an account, given how many accounts have one already.
func newReport(a chervilladder.AccountID, accounts int) report {
	name, named := otherAccounts, accounts < maxNamedAccounts
	if named {
		name = string(a)
	}
	counter := func(what string) *metrics.Counter {
		return Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_quota_%s_operations_total{account=%q}", what, name))
	}
	return report{named: named, offered: counter("offered"), borrowed: counter("borrowed"), refused: counter("refused")}
}

// update counts the refusals until now, and logs when they begin and when they have ended.
func (r *report) update(log *logrus.Entry, refused int64, limit chervilladder.Quota, now time.Time) {
	more := refused - r.reported
	r.refused.Add(int(more))
	if more > 0 {
		r.lastRefusedAt = now
	}
	switch {
	case more > 0 && r.refusingSince.IsZero():
		r.refusingSince, r.atFirst = now, r.reported
		if r.named {
			log.WithFields(logrus.Fields{"rate": limit.Rate, "burst": limit.Burst}).Info("quota: operations of a client account are refused")
		}
	case more == 0 && !r.refusingSince.IsZero() && now.Sub(r.lastRefusedAt) >= refusalsEndAfter:
		if r.named {
			log.WithFields(logrus.Fields{
				"refused": refused - r.atFirst, "lasted": r.lastRefusedAt.Sub(r.refusingSince).String(),
			}).Info("quota: operations of a client account are admitted again")
		}
		r.refusingSince = time.Time{}
	}
	r.reported = refused
}
