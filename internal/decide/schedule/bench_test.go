package schedule

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmitRelease measures one submit and one release while other
// tickets wait.
func BenchmarkSubmitRelease(b *testing.B) {
	for _, waiting := range []int{10, 1_000, 10_000} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			p := newProduct(capacities(threeUpstreams(3), 3))
			l := stream(background, write, 0, short)
			l.class.Deadline = time.Hour
			var line []*Ticket
			submit := func() {
				t := l.ticket(time.Now())
				if err := p.Submit(t); err != nil {
					b.Fatal(err)
				}
				line = append(line, t)
			}
			for range waiting + 2 {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				t := line[0]
				line = line[1:]
				id := <-t.granted
				submit()
				p.finish(t, id)
			}
		})
	}
}
