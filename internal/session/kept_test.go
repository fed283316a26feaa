package session_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
)

func setVariable(name, value string) chervilladder.Command {
	return chervilladder.Command{ID: "v", Kind: chervilladder.CommandSet, Name: name, Rest: value}
}

func prepare(name, shape string) chervilladder.Command {
	return chervilladder.Command{ID: "p", Kind: chervilladder.CommandPrepare, Name: name, Rest: shape}
}

// Names without number used to be kept until the session ended.
func TestSessionKeepsALimitedNumberOfNames(t *testing.T) {
	for _, command := range []func(name, text string) chervilladder.Command{setVariable, prepare} {
		bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
			s := w.Open(t, 0, clustertest.PrimaryDB)
			for i := range 1000 {
				do(t, s, command(fmt.Sprint("n", i), "x"))
			}
			is.Equal(s.Do(context.Background(), command("another", "x")).Code, chervilladder.CodeFailed)
			do(t, s, command("n1", "y")) // replaces one
		})
	}
}

func TestSessionKeepsALimitedSize(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		largest := strings.Repeat("x", 1<<20)
		do(t, s, setVariable("a", largest))
		do(t, s, setVariable("b", largest))
		do(t, s, prepare("c", largest))
		is.Equal(s.Do(context.Background(), prepare("d", largest)).Code, chervilladder.CodeFailed)
		do(t, s, chervilladder.Command{ID: "x", Kind: chervilladder.CommandDeallocate, Name: "c"})
		do(t, s, prepare("d", largest))
	})
}
