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

// outcome is what a caller was told of a write.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeDone
	outcomeNotRun
)

// outcomeOf reads what an error says of the outcome. A connection that ended
// without a word says nothing.
func outcomeOf(err error) outcome {
	if err == nil {
		return outcomeDone
	}
	var e *pgconn.PgError
	if errors.As(err, &e) && strings.Contains(e.Detail+e.Message, "outcome: not-run") {
		return outcomeNotRun
	}
	// pgx itself knows of what it never sent.
	if pgconn.SafeToRetry(err) || strings.Contains(err.Error(), "failed to deallocate cached statement(s): conn closed") {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// history holds what callers were told, to be compared with what the database
// holds.
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

// pair records ids that were written in one transaction.
func (h *history) pair(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pairs = append(h.pairs, ids)
}

func (h *history) violate(format string, args ...any) {
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

// stepTimeout is a caller's own: a paused VM answers nothing. It is above the
// deadlines of the scenarios' classes.
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

// work is one roaming session: each write goes through one VM and is read
// back through the next.
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
		err := l.on(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
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

// transact writes two rows in one transaction. Each is recorded on its own, so
// that verify finds a transaction of which only a part is there.
func (l *load) transact(ctx context.Context, conns []*pgx.Conn, turn, worker int, id string) {
	ids := []string{id + "-a", id + "-b"}
	err := l.on(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
		return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
			for _, id := range ids {
				if _, err := tx.Exec(ctx, "INSERT INTO filings (id, worker) VALUES ($1, $2)", id, fmt.Sprint(worker)); err != nil {
					return err
				}
			}
			return nil
		})
	})
	l.history.pair(ids)
	for _, id := range ids {
		l.history.record(id, err)
	}
	if err == nil {
		l.readBack(ctx, conns, turn+1, worker, ids[1])
	}
}

func (l *load) readBack(ctx context.Context, conns []*pgx.Conn, turn, worker int, id string) {
	var gotID, gotWorker string
	err := l.on(ctx, conns, turn, worker, func(ctx context.Context, c *pgx.Conn) error {
		return c.QueryRow(ctx, "SELECT id, worker FROM filings WHERE id = $1", id).Scan(&gotID, &gotWorker)
	})
	through := l.world.vms[turn%len(l.world.vms)]
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		l.history.violate("%s was acknowledged, read back through %s: no row", id, through)
	case err == nil && (gotID != id || gotWorker != fmt.Sprint(worker)):
		l.history.violate("%s read back through %s: got the answer %s of worker %s", id, through, gotID, gotWorker)
	}
}

// on runs a step on a worker's connection to a VM, and connects again after a
// failure. A VM that can't be reached is as good as a refusal: nothing ran.
func (l *load) on(ctx context.Context, conns []*pgx.Conn, turn, worker int, step func(context.Context, *pgx.Conn) error) error {
	i := turn % len(conns)
	stepCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
	defer cancel()
	if conns[i] == nil || conns[i].IsClosed() {
		c, err := l.world.connect(stepCtx, l.world.vms[i], fmt.Sprintf("worker%d", worker))
		if err != nil {
			rest(ctx, 20*time.Millisecond)
			return &pgconn.PgError{Detail: "outcome: not-run", Message: "no connection: " + err.Error()}
		}
		conns[i] = c
	}
	err := step(stepCtx, conns[i])
	if err != nil && outcomeOf(err) == outcomeNotRun {
		rest(ctx, 20*time.Millisecond)
	}
	return err
}

func rest(ctx context.Context, d time.Duration) {
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

// connect opens a plain pgx connection through a VM. Each attempt has a short
// timeout of its own, since a VM may be paused.
func (w *world) connect(ctx context.Context, vm, user string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, w.callers[vm], database))
}

// verify compares the history with what the database holds now.
func (h *history) verify(ctx context.Context, w *world) error {
	present, err := w.present(ctx)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	found := append([]string(nil), h.violations...)
	for id, o := range h.outcomes {
		switch {
		case o == outcomeDone && present[id] != 1:
			found = append(found, fmt.Sprintf("%s was acknowledged and is there %d times", id, present[id]))
		case o == outcomeNotRun && present[id] != 0:
			found = append(found, fmt.Sprintf("%s was refused as not run and is there", id))
		}
	}
	for _, p := range h.pairs {
		if present[p[0]] != present[p[1]] {
			found = append(found, fmt.Sprintf("of the transaction of %s and %s only a part is there", p[0], p[1]))
		}
	}
	if len(found) > 0 {
		return fmt.Errorf("%d violations:\n%s", len(found), strings.Join(found, "\n"))
	}
	return nil
}

// present reads all rows, through whichever VM answers.
func (w *world) present(ctx context.Context) (map[string]int, error) {
	var last error
	for until := time.Now().Add(patience); time.Now().Before(until); {
		for _, vm := range w.vms {
			rows, err := w.readAll(ctx, vm)
			if err == nil {
				return rows, nil
			}
			last = err
		}
		rest(ctx, 50*time.Millisecond)
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
