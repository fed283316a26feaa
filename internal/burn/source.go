package burn

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/chervilladder/chervilladder"
)

// Source provides the snapshot of one VM to the operators' interface.
type Source struct {
	Recorder *Recorder
	VM       chervilladder.VMID
	// Catalogue returns the configuration in force, or nil.
	Catalogue func() *chervilladder.Catalogue
}

// WriteJSON writes the snapshot of the last hour.
func (s *Source) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(s.Recorder.Snapshot(s.VM, s.Catalogue())); err != nil {
		return fmt.Errorf("burn: write snapshot: %w", err)
	}
	return nil
}
