package chervilladder

// Outcome is what is known about work that has ended.
type Outcome uint8

// The outcomes. Work is reported as NotRun only if it is certain that no byte of
// it reached an upstream, or that its transaction can no longer commit.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeDone
)

// String returns the name that errors and reports use.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
