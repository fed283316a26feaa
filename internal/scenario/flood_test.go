package scenario_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// flood is a set of callers that send background work as fast as it is answered.
type flood struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

func startFlood(w *world, callers int) *flood {
	ctx, stop := context.WithCancel(context.Background())
	f := &flood{stop: stop}
	for i := range callers {
		f.done.Go(func() { floodWork(ctx, w, i) })
	}
	return f
}

func floodWork(ctx context.Context, w *world, caller int) {
	var conn *pgx.Conn
	for turn := 0; ctx.Err() == nil; turn++ {
		if conn == nil || conn.IsClosed() {
			var err error
			conn, err = w.connect(ctx, w.vms[caller%len(w.vms)], fmt.Sprintf("export%d", caller))
			if err != nil {
				sleep(ctx, 50*time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("e%d-%d", caller, turn)
		if _, err := conn.Exec(ctx, "/* class=background */ INSERT INTO exports (id) VALUES ($1)", id); err != nil {
			sleep(ctx, 5*time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (f *flood) end() {
	f.stop()
	f.done.Wait()
}
