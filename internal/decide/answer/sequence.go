package answer

// RequestNumber identifies a request among those that were sent on the same connection.
type RequestNumber uint32

// MaxRequestNumber is the number after which a connection's requests are numbered from
// the start again.
const MaxRequestNumber RequestNumber = 1<<30 - 1

// Sequence matches the answers on a connection to its requests, of which only one is
// unanswered at a time. The zero value is that of a connection without requests.
type Sequence struct {
	last RequestNumber
	// awaited is set while no answer to the last request has begun.
	awaited bool
}

// Next returns the number of the next request, whose answer is awaited from then on.
func (s *Sequence) Next() RequestNumber {
	s.last++
	if s.last > MaxRequestNumber {
		s.last = 1
	}
	s.awaited = true
	return s.last
}

// Accept reports whether an answer that begins with a number is the awaited one. It
// accepts one answer to each request: a further one was sent a second time.
func (s *Sequence) Accept(n RequestNumber) bool {
	accepted := s.awaited && n == s.last
	s.awaited = s.awaited && !accepted
	return accepted
}
