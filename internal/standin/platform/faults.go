package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// Faults are the injected faults. The zero value is none.
type Faults struct {
	// Down drops the connections of the object API.
	Down bool `json:"down"`
	// Slow delays each call of the object API.
	Slow Duration `json:"slow"`
	// LoseAnswers is the number of changes and promotions to carry out without
	// answering them.
	LoseAnswers int `json:"lose-answers"`
	// VMListLag is the age of the returned list of VMs.
	VMListLag Duration `json:"vm-list-lag"`
}

// Duration is a time.Duration that JSON encodes as a string such as "10s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf(`a duration is a string such as "2s": %w`, err)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	if parsed < 0 {
		return fmt.Errorf("duration %s is negative", s)
	}
	*d = Duration(parsed)
	return nil
}

// faultSection holds the current faults. The control calls write it; each call of
// the object API reads it.
type faultSection struct {
	current *board.Section[Faults]
}

// losesAnswer reports whether to lose the answer to a change or promotion, and
// decrements LoseAnswers if so.
func (s faultSection) losesAnswer() bool {
	if s.current.Load().LoseAnswers == 0 {
		return false
	}
	lost := false
	s.current.Update(func(f *Faults) {
		lost = f.LoseAnswers > 0
		if lost {
			f.LoseAnswers--
		}
	})
	return lost
}

// untilDown returns a context that is cancelled once the platform is down.
func (s faultSection) untilDown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			f, changed := s.current.Watch()
			if f.Down {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}
