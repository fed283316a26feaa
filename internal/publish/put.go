package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/chervilladder/chervilladder"
)

// How often, and how far apart, a call is tried.
const (
	attempts     = 5
	firstBackoff = 100 * time.Millisecond
)

// retry tries a call again for as long as the platform fails it. A conflict
// counts as a failure: the call looks again before it puts.
func retry(ctx context.Context, try func() error) error {
	backoff := firstBackoff
	for n := 1; ; n++ {
		err := try()
		if err == nil || n == attempts || !worthRetry(err) {
			return err
		}
		if err := sleep(ctx, backoff); err != nil {
			return err
		}
		backoff *= 2
	}
}

func worthRetry(err error) bool {
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

// putContents writes the contents that are not in force yet.
func (p *Publisher) putContents(ctx context.Context, base Index, b Bundle) error {
	for i, e := range b.Index.Services {
		if held, ok := base.entry(e.Service); ok && held == e {
			continue
		}
		if err := p.putContent(ctx, e, b.Files[i].Text); err != nil {
			return fmt.Errorf("nothing published: service %s: %w", e.Service, err)
		}
	}
	return nil
}

// putContent writes an immutable content. One that is there already, written
// by whoever it was, is as good.
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
		return &CorruptError{Entry: e, What: "holds another content"}
	}
	return nil
}

// putIndex swings the index. A lost answer is followed by the same put again:
// its condition still holds if the change wasn't made, and what is found in
// force shows the attempt if it was.
func (p *Publisher) putIndex(ctx context.Context, base stored, next Index) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", next.Revision, err)
	}
	o := chervilladder.Object{
		Kind: chervilladder.KindIndex, Name: IndexName,
		Version: base.version, Value: value,
	}
	lost := false
	err = retryFailed(ctx, func() error {
		_, err := p.platform.Put(ctx, o)
		var failed *chervilladder.PlatformError
		if errors.As(err, &failed) {
			lost = lost || failed.Unknown
		}
		return err
	})
	return p.judge(ctx, base, next, lost, err)
}

// retryFailed tries a call again for as long as the platform fails it.
func retryFailed(ctx context.Context, try func() error) error {
	var conflict error
	err := retry(ctx, func() error {
		err := try()
		var lost *chervilladder.ConflictError
		if errors.As(err, &lost) {
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

// judge says what became of a change of the index.
func (p *Publisher) judge(ctx context.Context, base stored, next Index, lost bool, err error) error {
	if err == nil {
		return nil
	}
	var conflict *chervilladder.ConflictError
	if !errors.As(err, &conflict) {
		if lost {
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
	if lost && inForce.Revision > next.Revision {
		return p.judgePast(ctx, base, next, inForce.Index)
	}
	return p.conflict(ctx, base.Revision, &base.Index, inForce.Index)
}

// judgePast says what became of a change when later revisions are in force.
func (p *Publisher) judgePast(ctx context.Context, base stored, next, inForce Index) error {
	var past Index
	err := retry(ctx, func() error {
		var err error
		past, err = Past(ctx, p.platform, next.Revision)
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
