package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// Faults are the faults in force. The zero Faults are none.
type Faults struct {
	// Down drops the connections of the object API.
	Down bool `json:"down"`
	// Slow delays each call of the object API.
	Slow Duration `json:"slow"`
	// LoseAnswers is how many changes will be made and not answered.
	LoseAnswers int `json:"lose-answers"`
	// VMListLag is how old the shown list of VMs is.
	VMListLag Duration `json:"vm-list-lag"`
}

// Duration is a time.Duration that is written like "10s" in JSON.
type Duration time.Duration

// MarshalJSON returns the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from a string.
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

// faultBoard is the section that holds the faults in force. The control calls
// write it; each call of the object API reads it.
type faultBoard struct {
	faults *board.Section[Faults]
}

// takeLostAnswer reports whether the answer to a change is to be lost, and
// counts it.
func (b faultBoard) takeLostAnswer() bool {
	if b.faults.Load().LoseAnswers == 0 {
		return false
	}
	lost := false
	b.faults.Update(func(f *Faults) {
		lost = f.LoseAnswers > 0
		if lost {
			f.LoseAnswers--
		}
	})
	return lost
}

// untilDown returns a context that is done once the platform is down.
func (b faultBoard) untilDown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			f, changed := b.faults.Watch()
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
