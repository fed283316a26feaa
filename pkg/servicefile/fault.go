package servicefile

import "github.com/chervilladder/chervilladder/internal/jsonc"

// FaultError is one fault in a service file: its position, what is wrong, and
// how to fix it.
type FaultError = jsonc.FaultError

// CheckError holds all faults that were found in the checked files.
type CheckError = jsonc.CheckError

// checkError returns the faults as an error, or nil if there are none.
func checkError(faults []*FaultError) error {
	return jsonc.NewCheckError(faults)
}
