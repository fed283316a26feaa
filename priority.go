package chervilladder

import "fmt"

// Priority orders classes of work; zero is the most urgent.
type Priority uint8

// The three priorities that a service file may name.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityBackground

	// PriorityCount is the number of priorities.
	PriorityCount = 3
)

// String returns the name that service files and reports use.
func (p Priority) String() string {
	switch p {
	case PriorityUrgent:
		return "urgent"
	case PriorityNormal:
		return "normal"
	case PriorityBackground:
		return "background"
	default:
		return fmt.Sprintf("priority-%d", uint8(p))
	}
}

// ParsePriority returns the priority of a name in a service file.
func ParsePriority(name string) (Priority, bool) {
	for p := range Priority(PriorityCount) {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}
