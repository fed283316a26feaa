package burn_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
)

func TestSourceWritesSnapshot(t *testing.T) {
	is := is.New(t)
	s := &burn.Source{
		Recorder:  &burn.Recorder{},
		VM:        "vm-1",
		Catalogue: func() *chervilladder.Catalogue { return nil },
	}
	var out bytes.Buffer
	is.NoErr(s.WriteJSON(&out))
	var got burn.Snapshot
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(got.VMs, []chervilladder.VMID{"vm-1"})
}
