package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chervilladder/chervilladder"
)

// historyName returns the name of the object that holds a replaced revision.
// The names form a ring of HistoryLength objects.
func historyName(r chervilladder.Revision) chervilladder.ObjectName {
	return chervilladder.ObjectName(fmt.Sprintf("revision-%d", r%HistoryLength))
}

// PastIndex returns the index of a replaced revision from the history, or a
// *NoRevisionError.
func PastIndex(ctx context.Context, p chervilladder.Platform, r chervilladder.Revision) (Index, error) {
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

// History returns the index in force and those before it, newest first, up to
// a limit.
func History(ctx context.Context, p chervilladder.Platform, limit int) ([]Index, error) {
	index, err := Current(ctx, p)
	if err != nil || index.Revision == 0 {
		return nil, err
	}
	history := []Index{index}
	for r := index.Revision - 1; r > 0 && len(history) < limit; r-- {
		past, err := PastIndex(ctx, p, r)
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

// archive writes an index that is about to be replaced to the history, where it
// overwrites the oldest one. The index was read from the platform and so was in
// force, hence concurrent publishers write the same value.
func (p *Publisher) archive(ctx context.Context, index Index) error {
	if index.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(index)
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", index.Revision, err)
	}
	o := chervilladder.Object{Kind: KindHistory, Name: historyName(index.Revision), Value: value}
	return retry(ctx, func() error {
		archived, err := p.archivedRevision(ctx, &o)
		if err != nil || archived >= index.Revision {
			return err
		}
		_, err = p.platform.Put(ctx, o)
		return err
	})
}

// archivedRevision returns the revision that is stored in an object of the
// history, and sets o.Version to the version of that object.
func (p *Publisher) archivedRevision(ctx context.Context, o *chervilladder.Object) (chervilladder.Revision, error) {
	found, err := p.platform.Get(ctx, o.Kind, o.Name)
	var missing *chervilladder.NotFoundError
	if errors.As(err, &missing) {
		o.Version = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	s, err := decodeIndex(found)
	o.Version = found.Version
	return s.Revision, err
}
