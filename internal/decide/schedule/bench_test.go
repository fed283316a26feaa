package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
)

// BenchmarkSubmitRelease measures one submit and one release of the most
// urgent priority while other tickets wait.
func BenchmarkSubmitRelease(b *testing.B) {
	for _, waiting := range []int{10, 1_000, 4_000} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			q := queueWithWaiting(b, waiting)
			first := stream(urgent, write, 0, short)
			t := first.ticket(time.Now())
			if err := q.Submit(t); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				next := first.ticket(time.Now())
				if err := q.Submit(next); err != nil {
					b.Fatal(err)
				}
				q.Release(t)
				<-next.granted
				t = next
			}
		})
	}
}

// BenchmarkRefusal measures a submit that is refused by the limit of its flow.
func BenchmarkRefusal(b *testing.B) {
	q := queueWithWaiting(b, 2*4*maxFlowWaiting) // two classes of four callers: each flow is at its limit
	l := stream(background, write, 0, short)
	l.caller = "caller-0"
	t := l.ticket(time.Now())
	for b.Loop() {
		if q.Submit(t) == nil {
			b.Fatal("not refused")
		}
	}
}

// queueWithWaiting returns a queue with waiting tickets of four callers in two classes,
// and one slot of the primary, which is still free.
func queueWithWaiting(b *testing.B, waiting int) *Queue {
	q := &Queue{}
	q.Configure(capacities(threeUpstreams(3), 0))
	for i := range waiting {
		l := stream([]chervilladder.Class{normal, background}[i%2], write, 0, short)
		l.class.Deadline, l.class.FloorPercent = time.Hour, 0
		l.caller = fmt.Sprint("caller-", i/2%4)
		if err := q.Submit(l.ticket(time.Now())); err != nil {
			b.Fatal(err)
		}
	}
	q.members[0].Slots = 1
	return q
}

// BenchmarkRecheck measures a Dispatch while 2,000 reads wait for replicas that have
// not replayed far enough.
func BenchmarkRecheck(b *testing.B) {
	q := &Queue{}
	q.Configure(capacities(threeUpstreams(3), 3))
	l := stream(normal, read, 0, short)
	l.class.Deadline, l.class.Target = 2*time.Hour, 2*time.Hour
	for i := range 2_000 {
		l.caller = fmt.Sprint("caller-", i%4)
		t := l.ticket(time.Now())
		t.Readable = func(chervilladder.UpstreamID) bool { return false }
		if err := q.Submit(t); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Dispatch()
	}
}

// BenchmarkParallel measures a submit, a grant and a release while all processors
// contend for the queue's lock.
func BenchmarkParallel(b *testing.B) {
	q := &Queue{}
	q.Configure(capacities(threeUpstreams(3), 64))
	l := stream(urgent, write, 0, short)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			t := l.ticket(time.Now())
			if err := q.Submit(t); err != nil {
				b.Error(err)
				return
			}
			<-t.granted
			q.Release(t)
		}
	})
}

// BenchmarkConfigure measures a Configure that changes nothing while 4,000 tickets
// wait and a removed member still runs work.
func BenchmarkConfigure(b *testing.B) {
	q := queueWithWaiting(b, 4_000)
	list := capacities(threeUpstreams(3), 0)
	q.Dispatch() // one ticket takes the free slot
	q.Configure(list[1:])
	b.ReportAllocs()
	for b.Loop() {
		q.Configure(list[1:])
	}
}
