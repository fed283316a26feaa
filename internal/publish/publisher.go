package publish

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// Config configures a Publisher.
type Config struct {
	Platform chervilladder.Platform
	// Operator is who publishes. The history and conflicts name them.
	Operator string
	// NewAttempt makes the ids of attempts; nil means random ones.
	NewAttempt func() chervilladder.AttemptID
}

// Publisher brings service files into force:
//
//	p, err := publish.New(publish.Config{Platform: client, Operator: "ana"})
//	if err != nil {
//		return err
//	}
//	index, err := p.Publish(ctx, publish.Change{Files: files, Note: "more slots"})
//
// Its errors are a *ConflictError, after which nothing has changed, an
// *UnknownError, and for all else a plain one, after which nothing is in force
// that wasn't before.
type Publisher struct {
	platform   chervilladder.Platform
	operator   string
	newAttempt func() chervilladder.AttemptID
}

// New returns a publisher.
func New(c Config) (*Publisher, error) {
	if c.Platform == nil {
		return nil, errors.New("publish: no platform; give the platform's client")
	}
	if c.Operator == "" {
		return nil, errors.New("publish: no operator; say who publishes")
	}
	if c.NewAttempt == nil {
		c.NewAttempt = func() chervilladder.AttemptID { return chervilladder.AttemptID(rand.Text()) }
	}
	return &Publisher{platform: c.Platform, operator: c.Operator, newAttempt: c.NewAttempt}, nil
}

// Change is what an operator wants to bring into force. Services that it
// doesn't mention stay as they are.
type Change struct {
	// Files replace, or add, the services that they describe.
	Files []servicefile.File
	// Remove lists the services to be taken out of force.
	Remove []chervilladder.ServiceID
	Note   string
	// Expect is the revision that must be in force; nil means whichever is.
	Expect *chervilladder.Revision
}

// Publish brings a change into force as a new revision. If that would change
// nothing, it returns the index in force as it is.
func (p *Publisher) Publish(ctx context.Context, change Change) (Index, error) {
	base, err := p.base(ctx, change.Expect)
	if err != nil {
		return Index{}, err
	}
	b, err := merge(ctx, p.platform, base.Index, change)
	if err != nil {
		return Index{}, err
	}
	if len(b.Index.Changed(base.Index)) == 0 {
		return base.Index, nil
	}
	if err := p.putContents(ctx, base.Index, b); err != nil {
		return Index{}, err
	}
	return p.swing(ctx, base, b.Index.Services, change.Note)
}

// Rollback brings the content of an old revision into force as a new one.
func (p *Publisher) Rollback(ctx context.Context, to chervilladder.Revision, note string, expect *chervilladder.Revision) (Index, error) {
	base, err := p.base(ctx, expect)
	if err != nil {
		return Index{}, err
	}
	old, err := p.find(ctx, base.Index, to)
	if err != nil {
		return Index{}, err
	}
	if len(old.Changed(base.Index)) == 0 {
		return base.Index, nil
	}
	files, err := loadFiles(ctx, p.platform, old.Services, Bundle{})
	if err != nil {
		return Index{}, fmt.Errorf("load revision %d: %w", to, err)
	}
	if err := servicefile.Check(files); err != nil {
		return Index{}, fmt.Errorf("check revision %d: %w", to, err)
	}
	return p.swing(ctx, base, old.Services, note)
}

func (p *Publisher) find(ctx context.Context, inForce Index, revision chervilladder.Revision) (Index, error) {
	if revision == inForce.Revision {
		return inForce, nil
	}
	return Past(ctx, p.platform, revision)
}

// base returns what is in force, if it is what the operator expects.
func (p *Publisher) base(ctx context.Context, expect *chervilladder.Revision) (stored, error) {
	base, err := current(ctx, p.platform)
	if err != nil {
		return stored{}, err
	}
	if expect != nil && *expect != base.Revision {
		return stored{}, p.conflict(ctx, *expect, nil, base.Index)
	}
	return base, nil
}

// conflict tells what has changed between a base and what is in force. The
// base is read from the history unless the caller has it.
func (p *Publisher) conflict(ctx context.Context, revision chervilladder.Revision, base *Index, inForce Index) error {
	e := &ConflictError{Base: revision, Current: inForce}
	if base == nil && revision > 0 {
		past, err := Past(ctx, p.platform, revision)
		if err != nil {
			e.Partial = true
			return e
		}
		base = &past
	}
	if base == nil {
		base = &Index{}
	}
	e.Services = inForce.Changed(*base)
	return e
}

// merge applies a change to what is in force, and checks the result as a
// whole.
func merge(ctx context.Context, platform chervilladder.Platform, base Index, change Change) (Bundle, error) {
	if err := servicefile.Check(change.Files); err != nil {
		return Bundle{}, err
	}
	gone := make(map[chervilladder.ServiceID]bool)
	for _, s := range change.Remove {
		if _, ok := base.entry(s); !ok {
			return Bundle{}, fmt.Errorf("remove service %s: it is not in force at revision %d; check its name", s, base.Revision)
		}
		gone[s] = true
	}
	for _, f := range change.Files {
		gone[f.Service] = true
	}
	var keep []Entry
	for _, e := range base.Services {
		if !gone[e.Service] {
			keep = append(keep, e)
		}
	}
	kept, err := loadFiles(ctx, platform, keep, Bundle{})
	if err != nil {
		return Bundle{}, err
	}
	return newBundle(append(kept, change.Files...))
}

// newBundle checks files as a whole and lists them in the order of their
// services.
func newBundle(files []servicefile.File) (Bundle, error) {
	slices.SortFunc(files, func(a, b servicefile.File) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	if err := servicefile.Check(files); err != nil {
		return Bundle{}, err
	}
	b := Bundle{Files: files}
	for _, f := range files {
		b.Index.Services = append(b.Index.Services, entryOf(f.Service, f.Text))
	}
	return b, nil
}

// swing puts the new index in the place of the old one, which it keeps in the
// history first.
func (p *Publisher) swing(ctx context.Context, base stored, services []Entry, note string) (Index, error) {
	next := Index{
		Revision:  base.Revision + 1,
		Attempt:   p.newAttempt(),
		Operator:  p.operator,
		Published: time.Now().UTC().Truncate(time.Second),
		Note:      note,
		Services:  services,
	}
	if err := p.keep(ctx, base.Index); err != nil {
		return Index{}, fmt.Errorf("nothing published: %w", err)
	}
	if err := p.putIndex(ctx, base, next); err != nil {
		return Index{}, err
	}
	return next, nil
}
