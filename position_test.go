package chervilladder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

func ExampleMark_Covers() {
	written := chervilladder.Mark{Term: 2, Position: 40}
	replayed := chervilladder.Mark{Term: 3, Position: 10}
	fmt.Println(replayed.Covers(written))
	// Output: true
}

func TestMarkLater(t *testing.T) {
	is := is.New(t)
	old := chervilladder.Mark{Term: 1, Position: 90}
	fresh := chervilladder.Mark{Term: 2, Position: 5}
	is.Equal(old.Later(fresh), fresh)
	is.Equal(fresh.Later(old), fresh)
	is.Equal(chervilladder.Mark{}.Later(old), old)
}
