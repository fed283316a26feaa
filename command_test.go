package chervilladder_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

func ExampleCommand_Validate() {
	twoLines := chervilladder.Command{ID: "5c0e", Kind: chervilladder.CommandWrite, Rest: "1a4 two\nlines"}
	fmt.Println(twoLines.Validate())
	smuggled := chervilladder.Command{ID: "5c0e", Kind: chervilladder.CommandWrite, Rest: "1a4 x\r\nQUERY e0 WRITE 2b7 y"}
	fmt.Println(smuggled.Validate())
	// Output:
	// <nil>
	// the text holds a line end or a separator of fields
}

func TestCommandsThatWouldBeReadAsAnother(t *testing.T) {
	is := is.New(t)
	for field, c := range map[string]chervilladder.Command{
		"id":   {ID: "1 WRITE 2b7 y", Kind: chervilladder.CommandRead, Rest: "1a4"},
		"name": {ID: "1", Kind: chervilladder.CommandSet, Name: "a b", Rest: "c"},
		"text": {ID: "1", Kind: chervilladder.CommandPrepare, Name: "s1", Rest: "q\r\nTERM"},
	} {
		var invalid *chervilladder.InvalidFieldError
		is.True(errors.As(c.Validate(), &invalid))
		is.Equal(invalid.Field, field)
	}
	for _, c := range []chervilladder.Command{
		{Kind: chervilladder.CommandStatus},
		{ID: "1\n", Kind: chervilladder.CommandExecute, Name: "\ns\r", Rest: "\n a\r"},
		{ID: "1", Kind: chervilladder.CommandDeallocate, Name: "a b"},
	} {
		is.NoErr(c.Validate())
	}
}
