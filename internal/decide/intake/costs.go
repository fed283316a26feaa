package intake

import "time"

const (
	// ConnectTimeout bounds the wait for the message that opens a session.
	ConnectTimeout = 10 * time.Second
	// MessageTimeout bounds the wait for the remainder of any other message.
	MessageTimeout = 30 * time.Second
	// UncountedAnswer is the size up to which answers aren't counted.
	UncountedAnswer Bytes = 4 << 10
)

const (
	// messageCost is how many bytes of memory a byte of a message takes until it is
	// answered: it is read, copied while its memory grows, and encoded for an upstream.
	messageCost = 4
	// answerCost is the same for an answer: its rows, and their encoding.
	answerCost = 2
)

// MessageMemory returns the memory that a message of a size takes until it is answered.
func MessageMemory(size int) Bytes { return messageCost * Bytes(size) }

// AnswerMemory returns the memory that an answer of a size takes until it is written.
func AnswerMemory(size int) Bytes { return answerCost * Bytes(size) }
