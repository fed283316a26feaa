// Package observe logs the commands that sessions have completed, and updates the
// metrics of commands. It leaves out commands that succeeded without an upstream,
// and logs a limited number of lines per second.
package observe

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/session"
)

// The most lines written per second. Commands that failed or were slow have a
// separate, higher limit than the others.
const (
	maxNormalLines  = 150
	maxProblemLines = 300
)

// slowCommand is the duration from which a command's line counts towards
// maxProblemLines even if it succeeded.
const slowCommand = 200 * time.Millisecond

// Config configures an Observer.
type Config struct {
	// Output receives the log lines. Its Write must not block.
	Output io.Writer
	// Metrics is the set in which the metrics are registered.
	Metrics *metrics.Set
}

// Observer implements session.Observer.
type Observer struct {
	c      Config
	took   [chervilladder.PriorityCount]*metrics.Histogram
	waited [chervilladder.PriorityCount]*metrics.Histogram
	// notWritten counts lines over the limits and those whose write failed.
	notWritten *metrics.Counter
	accounts   accountCounters

	mu              sync.Mutex
	line            []byte
	second          int64
	normal, problem int
}

var _ session.Observer = (*Observer)(nil)

// New returns an observer.
func New(c Config) *Observer {
	o := &Observer{c: c, accounts: newAccountCounters(c.Metrics), notWritten: c.Metrics.NewCounter("chervilladder_request_lines_suppressed_total")}
	for p := range chervilladder.Priority(chervilladder.PriorityCount) {
		o.took[p] = c.Metrics.NewHistogram(fmt.Sprintf("chervilladder_command_seconds{priority=%q}", p))
		o.waited[p] = c.Metrics.NewHistogram(fmt.Sprintf("chervilladder_queue_wait_seconds{priority=%q}", p))
	}
	return o
}

// Ended updates the metrics for a command and logs it.
func (o *Observer) Ended(e session.Ended) {
	if e.Upstream == "" && e.Result.Code == chervilladder.CodeNone {
		return // succeeded without an upstream
	}
	o.accounts.count(e.Account, e.Result.Code)
	p := min(int(e.Priority), chervilladder.PriorityCount-1)
	o.took[p].Update(e.Took.Seconds())
	if e.Upstream != "" {
		o.waited[p].Update(e.Waited.Seconds())
	}
	if e.Result.Code != chervilladder.CodeNone {
		o.c.Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_command_errors_total{code=%q}", codeName(e.Result.Code))).Inc()
	}
	o.countPlaces(e)
	o.write(e)
}

// countPlaces counts in which data centre a command was answered.
func (o *Observer) countPlaces(e session.Ended) {
	if e.ForwardedTo != "" {
		o.c.Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_forwarded_total{left=%q}", e.Left)).Inc()
	}
	if e.Upstream != "" {
		place := "own"
		if e.UpstreamElsewhere {
			place = "other"
		}
		o.c.Metrics.GetOrCreateCounter(fmt.Sprintf("chervilladder_upstream_commands_total{data_centre=%q}", place)).Inc()
	}
}

// write writes a command's line unless the limit of the current second is
// reached.
func (o *Observer) write(e session.Ended) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.admit(e, now) {
		o.notWritten.Inc()
		return
	}
	o.line = appendLine(o.line[:0], e, now)
	if _, err := o.c.Output.Write(o.line); err != nil {
		o.notWritten.Inc()
	}
}

func (o *Observer) admit(e session.Ended, now time.Time) bool {
	if s := now.Unix(); s != o.second {
		o.second, o.normal, o.problem = s, 0, 0
	}
	if e.Result.Code == chervilladder.CodeNone && e.Took < slowCommand {
		o.normal++
		return o.normal <= maxNormalLines
	}
	o.problem++
	return o.problem <= maxProblemLines
}

func appendLine(b []byte, e session.Ended, now time.Time) []byte {
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z07:00")
	b = append(b, `","level":"info","msg":"session: command ended","request":`...)
	b = strconv.AppendQuote(b, string(e.Command.ID))
	b = append(b, `,"database":`...)
	b = strconv.AppendQuote(b, string(e.Database))
	if e.Account != "" {
		b = append(b, `,"account":`...)
		b = strconv.AppendQuote(b, string(e.Account))
	}
	b = append(b, `,"command":"`...)
	b = append(b, kindName(e.Command.Kind)...)
	b = append(b, `","code":"`...)
	b = append(b, codeName(e.Result.Code)...)
	b = append(b, `","priority":"`...)
	b = append(b, e.Priority.String()...)
	b = append(b, '"')
	if e.Upstream != "" {
		b = append(b, `,"upstream":`...)
		b = strconv.AppendQuote(b, string(e.Upstream))
		b = fmt.Appendf(b, `,"since":%q,"mark":%q`, e.MinMark, e.Result.Mark)
	}
	if e.ForwardedTo != "" {
		b = append(b, `,"host":`...)
		b = strconv.AppendQuote(b, string(e.ForwardedTo))
	}
	if e.Left != session.LeftNot {
		b = append(b, `,"left":`...)
		b = strconv.AppendQuote(b, string(e.Left))
	}
	b = fmt.Appendf(b, `,"tries":%d,"term":%d,"waited-ms":%.1f,"took-ms":%.1f`,
		e.Attempts, e.Term, float64(e.Waited.Microseconds())/1000, float64(e.Took.Microseconds())/1000)
	if e.Result.Code != chervilladder.CodeNone {
		b = append(b, `,"reason":`...)
		b = strconv.AppendQuote(b, e.Result.Text)
	}
	return append(b, '}', '\n')
}
