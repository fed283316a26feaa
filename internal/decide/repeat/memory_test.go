package repeat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// A statement got the rows of one that the connection had answered 300 statements, but only
// a second and a half, earlier.
func TestRepeatIsRecognisedBehindManyAnswers(t *testing.T) {
	var f repeat.Filter
	for i := range 300 {
		f.Sent(chervilladder.CommandRead)
		f.Judge(signed(i), now.Add(time.Duration(i)*5*time.Millisecond))
	}
	f.Sent(chervilladder.CommandRead)
	is.New(t).Equal(f.Judge(signed(0), now.Add(1500*time.Millisecond)).Verdict, repeat.Skip)
}
