package answer

// SequenceAfter returns the sequence of a connection whose last request has a number.
func SequenceAfter(n RequestNumber) Sequence { return Sequence{last: n} }
