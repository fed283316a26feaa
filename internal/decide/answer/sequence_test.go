package answer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

func ExampleSequence() {
	var s answer.Sequence
	first := s.Next()
	fmt.Println(s.Accept(first))
	second := s.Next()
	fmt.Println(s.Accept(first), s.Accept(second))
	// Output:
	// true
	// false true
}

func TestSequenceAcceptsOneAnswerToEachRequest(t *testing.T) {
	is := is.New(t)
	var s answer.Sequence
	is.True(!s.Accept(0)) // nothing was requested
	n := s.Next()
	is.True(s.Accept(n))
	is.True(!s.Accept(n)) // sent a second time
}

// After the largest number, numbers start again without the zero.
func TestSequenceStartsAgain(t *testing.T) {
	is := is.New(t)
	s := answer.SequenceAfter(answer.MaxRequestNumber)
	is.Equal(s.Next(), answer.RequestNumber(1))
	is.True(s.Accept(1))
}
