package servicefile

import "github.com/chervilladder/chervilladder/internal/jsonc"

// FaultError is one fault in a service file: its place, what is wrong, and the
// fix.
type FaultError = jsonc.FaultError

// CheckError holds all the faults of the files that were checked.
type CheckError = jsonc.CheckError

// checkError returns the faults as an error, or nil if there are none.
func checkError(faults []*FaultError) error {
	return jsonc.NewCheckError(faults)
}
