package caller_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/caller"
)

// idleCallers is how many callers the benchmark connects. Both ends of each
// connection count against the limit of open files.
const idleCallers = 9000

// usage is the process's use of memory and goroutines.
type usage struct {
	bytes      uint64
	goroutines int
}

func measure() usage {
	// Each garbage collection shrinks a stack by half at most.
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{m.HeapAlloc + m.StackInuse, runtime.NumGoroutine()}
}

// BenchmarkIdleCaller reports the memory and goroutines of an idle caller that
// has run one statement. Of plain connections, half the bytes are subtracted,
// which belong to the callers' ends in the same process, and all goroutines.
func BenchmarkIdleCaller(b *testing.B) {
	for b.Loop() {
		accepting, stop := acceptOnly(b)
		plain := connectAll(b, accepting, func(net.Conn) {})
		stop()
		address := serve(b, caller.Config{Executor: &fakeExecutor{answer: answerAll, discards: true}})
		start := startup(3<<16, "user\x00clerk\x00database\x00ledger\x00\x00")
		query := encodeFrontend(&pgproto3.Query{String: "SELECT 1"})
		buffer := make([]byte, 4096)
		served := connectAll(b, address, func(c net.Conn) {
			for _, out := range [][]byte{start, query} {
				_, _ = c.Write(out)
				for last := byte(0); last != 'Z'; {
					n, err := c.Read(buffer)
					if err != nil {
						b.Fatal(err)
					}
					last = buffer[max(0, n-6)]
				}
			}
		})
		b.ReportMetric(float64(served.bytes-plain.bytes/2)/idleCallers, "B/caller")
		b.ReportMetric(float64(served.goroutines-plain.goroutines)/idleCallers, "goroutines/caller")
	}
}

// connectAll connects all callers and returns the usage that they add.
func connectAll(b *testing.B, address string, use func(net.Conn)) usage {
	is := is.New(b)
	conns := make([]net.Conn, 0, idleCallers)
	before := measure()
	for range idleCallers {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		use(c)
		conns = append(conns, c)
	}
	after := measure()
	for _, c := range conns {
		c.Close()
	}
	return usage{after.bytes - before.bytes, after.goroutines - before.goroutines}
}

// acceptOnly accepts connections and keeps them open until it is stopped.
func acceptOnly(b *testing.B) (address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var held []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				break
			}
			held = append(held, c)
		}
		for _, c := range held {
			c.Close()
		}
	}()
	return l.Addr().String(), func() { l.Close(); <-done }
}
