package schedule

import (
	"container/heap"

	"github.com/chervilladder/chervilladder"
)

// flowKey identifies a flow. Slots are shared fairly among the flows of a priority.
type flowKey struct {
	class   chervilladder.ClassID
	service chervilladder.ServiceID
	caller  string
}

// flow is the work of one caller in one class. Start-time fair queueing serves the
// flow with the lowest start tag first: the slot time that the flow was charged,
// raised to the virtual time of its priority whenever it had nothing waiting.
type flow struct {
	key   flowKey
	start float64
	// priority is the priority whose virtual time applies to start.
	priority chervilladder.Priority
	waiting  int
	running  int
	// waitingBytes is the memory that the waiting tickets hold.
	waitingBytes int
	queues       []*flowQueue
	// overloads detects overload of the flow in each pool.
	overloads [poolCount]overload
}

// flowQueue holds the waiting tickets of one flow that the same members may run.
type flowQueue struct {
	flow *flow
	lane *lane
	tickets
	// position is the index in the lane's heap, -1 while the queue is empty.
	position int
}

// flowHeap is a heap of flow queues, the one to serve next first.
type flowHeap []*flowQueue

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].startsBefore(h[j]) }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	fq := x.(*flowQueue)
	fq.position = len(*h)
	*h = append(*h, fq)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	fq := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	fq.position = -1
	return fq
}

func (fq *flowQueue) startsBefore(other *flowQueue) bool {
	if fq.flow.start != other.flow.start {
		return fq.flow.start < other.flow.start
	}
	return fq.first.arrival < other.first.arrival
}

// lane holds the flow queues of one class and access that the same members may run.
type lane struct {
	members memberSet
	class   *class
	access  chervilladder.Access
	queues  flowHeap
}

// add appends a ticket and puts an empty queue into its lane's heap.
func (fq *flowQueue) add(t *Ticket) {
	t.queue = fq
	fq.push(t)
	if fq.position < 0 {
		heap.Push(&fq.lane.queues, fq)
	}
}

// unqueue removes a ticket, and an empty queue from its lane's heap.
func (fq *flowQueue) unqueue(t *Ticket) {
	t.queue = nil
	fq.remove(t)
	if fq.first == nil {
		heap.Remove(&fq.lane.queues, fq.position)
		return
	}
	heap.Fix(&fq.lane.queues, fq.position)
}

// charge adds slot time to a flow's start tag and reorders its queues.
func (f *flow) charge(cost float64) {
	f.start += cost
	for _, fq := range f.queues {
		if fq.position >= 0 {
			heap.Fix(&fq.lane.queues, fq.position)
		}
	}
}

// queueIn returns the flow's queue in a lane.
func (f *flow) queueIn(l *lane) *flowQueue {
	for _, fq := range f.queues {
		if fq.lane == l {
			return fq
		}
	}
	fq := &flowQueue{flow: f, lane: l, position: -1}
	f.queues = append(f.queues, fq)
	return fq
}

// idle reports whether deleting the flow changes no decision.
func (f *flow) idle(virtual float64) bool {
	return f.waiting == 0 && f.running == 0 && f.start <= virtual
}

// updatePriority moves a flow with nothing waiting to the current priority of its
// class.
func (f *flow) updatePriority(p chervilladder.Priority, virtual float64) {
	if f.waiting == 0 && f.priority != p {
		f.priority, f.start = p, virtual
	}
}
