package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
)

// Calls to the platform are retried with exponential backoff.
const (
	maxAttempts  = 5
	firstBackoff = 100 * time.Millisecond
)

// retry runs a call until it succeeds or fails for good, up to maxAttempts
// times. It retries platform errors and conflicts: after a conflict the call
// reads the object again before its next put.
func retry(ctx context.Context, try func() error) error {
	backoff := firstBackoff
	for n := 1; ; n++ {
		err := try()
		if err == nil || n == maxAttempts || !retryable(err) {
			return err
		}
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
		backoff *= 2
	}
}

func retryable(err error) bool {
	var platform *chervilladder.PlatformError
	var conflict *chervilladder.ConflictError
	return errors.As(err, &platform) || errors.As(err, &conflict)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// putContents writes the contents that the index in force doesn't name.
func (p *Publisher) putContents(ctx context.Context, base Index, b Bundle) error {
	for i, e := range b.Index.Services {
		if old, ok := base.entry(e.Service); ok && old == e {
			continue
		}
		if err := p.putContent(ctx, e, b.Files[i].Text); err != nil {
			return fmt.Errorf("nothing published: service %s: %w", e.Service, err)
		}
	}
	return nil
}

// putContent writes an immutable content. If the object already exists with the
// same content, it is left as it is, whoever wrote it.
func (p *Publisher) putContent(ctx context.Context, e Entry, text string) error {
	value, err := json.Marshal(content{File: text, Service: e.Service})
	if err != nil {
		return err
	}
	o := chervilladder.Object{Kind: chervilladder.KindService, Name: e.Object, Value: value}
	return retry(ctx, func() error {
		_, err := p.platform.Put(ctx, o)
		var conflict *chervilladder.ConflictError
		if errors.As(err, &conflict) {
			return checkContent(e, conflict.Current)
		}
		return err
	})
}

func checkContent(e Entry, o chervilladder.Object) error {
	var c content
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return &CorruptError{Entry: e, What: err.Error()}
	}
	if hashOf(c.File) != e.Hash {
		return &CorruptError{Entry: e, What: "its content does not match its hash"}
	}
	return nil
}

// putIndex replaces the index by a conditional put. If the response is lost, it
// retries the same put: if the change wasn't made, the condition still holds;
// if it was made, the conflict returns the index in force with this attempt's
// id.
func (p *Publisher) putIndex(ctx context.Context, base stored, next Index) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", next.Revision, err)
	}
	o := chervilladder.Object{
		Kind: chervilladder.KindIndex, Name: IndexName,
		Version: base.version, Value: value,
	}
	responseLost := false
	err = retryUnlessConflict(ctx, func() error {
		_, err := p.platform.Put(ctx, o)
		var failed *chervilladder.PlatformError
		if errors.As(err, &failed) {
			responseLost = responseLost || failed.Unknown
		}
		return err
	})
	return p.resolve(ctx, base, next, responseLost, err)
}

// retryUnlessConflict runs a call like retry, but returns a conflict at once.
func retryUnlessConflict(ctx context.Context, try func() error) error {
	var conflict error
	err := retry(ctx, func() error {
		err := try()
		var conflictErr *chervilladder.ConflictError
		if errors.As(err, &conflictErr) {
			conflict = err
			return nil
		}
		return err
	})
	if conflict != nil {
		return conflict
	}
	return err
}

// resolve determines from the result of putIndex whether the index was replaced,
// and returns nil if it was.
func (p *Publisher) resolve(ctx context.Context, base stored, next Index, responseLost bool, err error) error {
	if err == nil {
		return nil
	}
	var conflict *chervilladder.ConflictError
	if !errors.As(err, &conflict) {
		if responseLost {
			return &UnknownError{Revision: next.Revision, Attempt: next.Attempt, Err: err}
		}
		return fmt.Errorf("nothing published: %w", err)
	}
	inForce, err := decodeIndex(conflict.Current)
	if err != nil {
		return &UnknownError{Revision: next.Revision, Attempt: next.Attempt, Err: err}
	}
	if inForce.Attempt == next.Attempt {
		return nil
	}
	if responseLost && inForce.Revision > next.Revision {
		return p.resolveFromHistory(ctx, base, next, inForce.Index)
	}
	return p.conflict(ctx, base.Revision, &base.Index, inForce.Index)
}

// resolveFromHistory determines whether a change was made when a later revision
// is in force by now.
func (p *Publisher) resolveFromHistory(ctx context.Context, base stored, next, inForce Index) error {
	var past Index
	err := retry(ctx, func() error {
		var err error
		past, err = PastIndex(ctx, p.platform, next.Revision)
		return err
	})
	if err != nil {
		return &UnknownError{Revision: next.Revision, Attempt: next.Attempt, Err: err}
	}
	if past.Attempt == next.Attempt {
		return nil
	}
	return p.conflict(ctx, base.Revision, &base.Index, inForce)
}
