package chervilladder

import "io"

// Burn reports how fast the classes of work use up their error budgets.
type Burn interface {
	// WriteJSON writes the report of this VM.
	WriteJSON(w io.Writer) error
}
