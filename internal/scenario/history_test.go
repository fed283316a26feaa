package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// outcome is the outcome of a write as reported to its caller.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeNotRun
)

// outcomeOf returns the outcome that an error reports. An error is unknown unless its
// message says not-run or pgx sent nothing, so also one that says "outcome: done".
func outcomeOf(err error) outcome {
	if err == nil {
		return outcomeAcknowledged
	}
	var e *pgconn.PgError
	if errors.As(err, &e) && strings.Contains(e.Detail+e.Message, "outcome: not-run") {
		return outcomeNotRun
	}
	// pgx itself reports that it sent nothing.
	if pgconn.SafeToRetry(err) || strings.Contains(err.Error(), "failed to deallocate cached statement(s): conn closed") {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// history holds the outcomes reported to callers, to be compared with the content
// of the database.
type history struct {
	mu         sync.Mutex
	outcomes   map[string]outcome
	violations []string
	unknown    []string
	pairs      [][]string
}

func newHistory() *history {
	return &history{outcomes: map[string]outcome{}}
}

func (h *history) record(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[id] = outcomeOf(err)
	if h.outcomes[id] == outcomeUnknown {
		h.unknown = append(h.unknown, fmt.Sprintf("%s: %v", id, err))
	}
	var e *pgconn.PgError
	if errors.As(err, &e) && e.Code == "23505" {
		h.violations = append(h.violations, fmt.Sprintf("%s ran twice: %v", id, err))
	}
}

// recordPair records ids that were written in one transaction.
func (h *history) recordPair(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pairs = append(h.pairs, ids)
}

func (h *history) recordViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) count(o outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, got := range h.outcomes {
		if got == o {
			n++
		}
	}
	return n
}

// stepTimeout is the callers' own timeout, since a suspended VM doesn't answer. It
// exceeds the 10 s deadline of the class that load uses.
const stepTimeout = 12 * time.Second

// load writes and reads back through all VMs until it is stopped.
type load struct {
	world   *world
	history *history
	stop    context.CancelFunc
	done    sync.WaitGroup
	next    atomic.Int64
}

func startLoad(w *world, h *history, workers int) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{world: w, history: h, stop: stop}
	for i := range workers {
		l.done.Go(func() { l.work(ctx, i) })
	}
	return l
}

// work runs one session: each write goes through one VM and is read back through
// the next.
func (l *load) work(ctx context.Context, worker int) {
	conns := make([]*pgx.Conn, len(l.world.vms))
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close(context.Background())
			}
		}
	}()
	for turn := worker; ctx.Err() == nil; turn++ {
		id := fmt.Sprintf("w%d-%d", worker, l.next.Add(1))
		if turn%transactionEvery == 0 {
			l.transact(ctx, conns, turn, worker, id)
			continue
		}
		err := l.withConn(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
			_, err := c.Exec(ctx, "INSERT INTO filings (id, worker) VALUES ($1, $2)", id, fmt.Sprint(worker))
			return err
		})
		l.history.record(id, err)
		if err == nil {
			l.readBack(ctx, conns, turn+1, worker, id)
		}
	}
}

// transactionEvery is how often a worker writes a pair of rows in a
// transaction block instead of a single row.
const transactionEvery = 4

// transact writes two rows in one transaction. The pair is recorded too, so that verify
// finds a partly committed transaction even if its outcome is unknown.
func (l *load) transact(ctx context.Context, conns []*pgx.Conn, turn, worker int, id string) {
	ids := []string{id + "-a", id + "-b"}
	err := l.withConn(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
		return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
			for _, id := range ids {
				if _, err := tx.Exec(ctx, "INSERT INTO filings (id, worker) VALUES ($1, $2)", id, fmt.Sprint(worker)); err != nil {
					return err
				}
			}
			return nil
		})
	})
	l.history.recordPair(ids)
	for _, id := range ids {
		l.history.record(id, err)
	}
	if err == nil {
		l.readBack(ctx, conns, turn+1, worker, ids[1])
	}
}

func (l *load) readBack(ctx context.Context, conns []*pgx.Conn, turn, worker int, id string) {
	var gotID, gotWorker string
	err := l.withConn(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
		return c.QueryRow(ctx, "SELECT id, worker FROM filings WHERE id = $1", id).Scan(&gotID, &gotWorker)
	})
	through := l.world.vms[turn%len(l.world.vms)]
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		l.history.recordViolation("%s was acknowledged, read back through %s: no row", id, through)
	case err == nil && (gotID != id || gotWorker != fmt.Sprint(worker)):
		l.history.recordViolation("%s read back through %s: got the answer %s of worker %s", id, through, gotID, gotWorker)
	}
}

// withConn runs a step on a worker's connection to a VM and reconnects after a
// failure. If the VM is unreachable, it returns an error that reports that nothing
// ran.
func (l *load) withConn(ctx context.Context, conns []*pgx.Conn, turn, worker int, step func(context.Context, *pgx.Conn) error) error {
	i := turn % len(conns)
	stepCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
	defer cancel()
	if conns[i] == nil || conns[i].IsClosed() {
		c, err := l.world.connect(stepCtx, l.world.vms[i], fmt.Sprintf("worker%d", worker))
		if err != nil {
			sleep(ctx, 20*time.Millisecond)
			return &pgconn.PgError{Detail: "outcome: not-run", Message: "no connection: " + err.Error()}
		}
		conns[i] = c
	}
	err := step(stepCtx, conns[i])
	if err != nil && outcomeOf(err) == outcomeNotRun {
		sleep(ctx, 20*time.Millisecond)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *load) end() {
	l.stop()
	l.done.Wait()
}

// connect opens a plain pgx connection through a VM. It has a short timeout of its
// own, since the VM may be suspended.
func (w *world) connect(ctx context.Context, vm, user string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, w.callerAddresses[vm], database))
}

// verify compares the history with the content of the database.
func (h *history) verify(ctx context.Context, w *world) error {
	present, err := w.countRows(ctx)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	found := append([]string(nil), h.violations...)
	for id, o := range h.outcomes {
		switch {
		case o == outcomeAcknowledged && present[id] != 1:
			found = append(found, fmt.Sprintf("%s was acknowledged and is present %d times", id, present[id]))
		case o == outcomeNotRun && present[id] != 0:
			found = append(found, fmt.Sprintf("%s was rejected as not run and is present", id))
		}
	}
	for _, p := range h.pairs {
		if present[p[0]] != present[p[1]] {
			found = append(found, fmt.Sprintf("only a part of the transaction of %s and %s is present", p[0], p[1]))
		}
	}
	if len(found) > 0 {
		return fmt.Errorf("%d violations:\n%s", len(found), strings.Join(found, "\n"))
	}
	return nil
}

// countRows counts the rows of each id, through any VM that answers.
func (w *world) countRows(ctx context.Context) (map[string]int, error) {
	var last error
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); {
		for _, vm := range w.vms {
			rows, err := w.readAll(ctx, vm)
			if err == nil {
				return rows, nil
			}
			last = err
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil, fmt.Errorf("no VM answers: %w", last)
}

func (w *world) readAll(ctx context.Context, vm string) (map[string]int, error) {
	c, err := w.connect(ctx, vm, "verifier")
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close(ctx) }()
	// A locking read goes to the primary.
	rows, err := c.Query(ctx, "SELECT id FROM filings FOR UPDATE")
	if err != nil {
		return nil, err
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	present := map[string]int{}
	for _, id := range ids {
		present[id]++
	}
	return present, err
}
