package schedule

import (
	"container/heap"

	"github.com/chervilladder/chervilladder"
)

// flowKey names whom slots are shared fairly among within a priority.
type flowKey struct {
	class   chervilladder.ClassID
	service chervilladder.ServiceID
	caller  string
}

// flow is the work of one caller in one class. Start-time fair queueing
// orders flows by their start: the slot time that each was charged, raised to
// the virtual time of its priority whenever it had nothing waiting.
type flow struct {
	key   flowKey
	start float64
	// priority is the one whose virtual time the flow follows.
	priority chervilladder.Priority
	waiting  int
	running  int
	held     int
	lines    []*line
	// overloads follows the flow's wait in each pool.
	overloads [poolCount]overload
}

// line is the waiting tickets of one flow that the same members may run.
type line struct {
	flow *flow
	lane *lane
	tickets
	// position is the line's index in its heap, -1 while it is empty.
	position int
}

// lines is a heap of lines, the one to be served next first.
type lines []*line

func (h lines) Len() int           { return len(h) }
func (h lines) Less(i, j int) bool { return h[i].before(h[j]) }

func (h lines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push adds a line; heap.Push calls it.
func (h *lines) Push(x any) {
	l := x.(*line)
	l.position = len(*h)
	*h = append(*h, l)
}

// Pop removes the last line; heap.Pop calls it.
func (h *lines) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.position = -1
	return l
}

func (l *line) before(other *line) bool {
	if l.flow.start != other.flow.start {
		return l.flow.start < other.flow.start
	}
	return l.first.number < other.first.number
}

// lane holds the lines of one class and access that the same members may run.
type lane struct {
	members memberSet
	class   *class
	access  chervilladder.Access
	lines   lines
}

// add queues a ticket in a line.
func (l *line) add(t *Ticket) {
	t.line = l
	l.push(t)
	if l.position < 0 {
		heap.Push(&l.lane.lines, l)
	}
}

// drop takes a ticket out of its line.
func (l *line) drop(t *Ticket) {
	t.line = nil
	l.remove(t)
	if l.first == nil {
		heap.Remove(&l.lane.lines, l.position)
		return
	}
	heap.Fix(&l.lane.lines, l.position)
}

// charge adds slot time to a flow and puts its lines in order again.
func (f *flow) charge(cost float64) {
	f.start += cost
	for _, l := range f.lines {
		if l.position >= 0 {
			heap.Fix(&l.lane.lines, l.position)
		}
	}
}

// line returns the flow's line in a lane.
func (f *flow) line(in *lane) *line {
	for _, l := range f.lines {
		if l.lane == in {
			return l
		}
	}
	l := &line{flow: f, lane: in, position: -1}
	f.lines = append(f.lines, l)
	return l
}

// idle reports whether forgetting the flow changes nothing.
func (f *flow) idle(virtual float64) bool {
	return f.waiting == 0 && f.running == 0 && f.start <= virtual
}

// follow moves a flow with nothing waiting to a priority that its class was
// given anew.
func (f *flow) follow(p chervilladder.Priority, virtual float64) {
	if f.waiting == 0 && f.priority != p {
		f.priority, f.start = p, virtual
	}
}
