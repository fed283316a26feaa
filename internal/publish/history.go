package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chervilladder/chervilladder"
)

// historyName returns the object that keeps a replaced revision.
func historyName(r chervilladder.Revision) chervilladder.ObjectName {
	return chervilladder.ObjectName(fmt.Sprintf("revision-%d", r%HistoryLength))
}

// Past returns the index of a revision that has been replaced, or a
// *NoRevisionError.
func Past(ctx context.Context, p chervilladder.Platform, r chervilladder.Revision) (Index, error) {
	o, err := p.Get(ctx, KindHistory, historyName(r))
	var missing *chervilladder.NotFoundError
	if errors.As(err, &missing) {
		return Index{}, &NoRevisionError{Revision: r}
	}
	if err != nil {
		return Index{}, fmt.Errorf("read the history: %w", err)
	}
	s, err := decodeIndex(o)
	if err != nil {
		return Index{}, err
	}
	if s.Revision != r {
		return Index{}, &NoRevisionError{Revision: r}
	}
	return s.Index, nil
}

// History returns what is in force and what was before, newest first, up to a
// number of revisions.
func History(ctx context.Context, p chervilladder.Platform, limit int) ([]Index, error) {
	index, err := Current(ctx, p)
	if err != nil || index.Revision == 0 {
		return nil, err
	}
	history := []Index{index}
	for r := index.Revision - 1; r > 0 && len(history) < limit; r-- {
		past, err := Past(ctx, p, r)
		var none *NoRevisionError
		if errors.As(err, &none) {
			break
		}
		if err != nil {
			return nil, err
		}
		history = append(history, past)
	}
	return history, nil
}

// keep writes an index that is about to be replaced to the history, in the
// place of an older one. It is certain that the index was in force, so every
// publisher would write the same.
func (p *Publisher) keep(ctx context.Context, index Index) error {
	if index.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(index)
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", index.Revision, err)
	}
	o := chervilladder.Object{Kind: KindHistory, Name: historyName(index.Revision), Value: value}
	return retry(ctx, func() error {
		held, err := p.heldRevision(ctx, &o)
		if err != nil || held >= index.Revision {
			return err
		}
		_, err = p.platform.Put(ctx, o)
		return err
	})
}

// heldRevision returns the revision that an object of the history holds, and
// sets the version of the object.
func (p *Publisher) heldRevision(ctx context.Context, o *chervilladder.Object) (chervilladder.Revision, error) {
	held, err := p.platform.Get(ctx, o.Kind, o.Name)
	var missing *chervilladder.NotFoundError
	if errors.As(err, &missing) {
		o.Version = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s, err := decodeIndex(held)
	o.Version = held.Version
	return s.Revision, err
}
