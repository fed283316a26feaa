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
	// Operator is the name of the operator who publishes, for the history and
	// for conflicts.
	Operator string
	// NewAttempt generates the ids of attempts; nil means random ids.
	NewAttempt func() chervilladder.AttemptID
}

// Publisher publishes service files:
//
//	p, err := publish.New(publish.Config{Platform: client, Operator: "ana"})
//	if err != nil {
//		return err
//	}
//	index, err := p.Publish(ctx, publish.Change{Files: files, Note: "more slots"})
//
// After an *UnknownError the change may or may not have been published. After any
// other error, such as a *ConflictError, it hasn't been published.
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

// Change is a change that an operator publishes. Services that it doesn't
// mention stay as they are.
type Change struct {
	// Files replace or add the services that they describe.
	Files []servicefile.File
	// Remove lists the services to remove.
	Remove []chervilladder.ServiceID
	Note   string
	// Expect is the revision that must be in force; nil accepts any.
	Expect *chervilladder.Revision
}

// Publish publishes a change as a new revision. If the change has no effect, it
// publishes nothing and returns the index in force.
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
	return p.replaceIndex(ctx, base, b.Index.Services, change.Note)
}

// Rollback publishes the content of an old revision as a new revision.
func (p *Publisher) Rollback(ctx context.Context, to chervilladder.Revision, note string, expect *chervilladder.Revision) (Index, error) {
	base, err := p.base(ctx, expect)
	if err != nil {
		return Index{}, err
	}
	old, err := p.indexOf(ctx, base.Index, to)
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
	return p.replaceIndex(ctx, base, old.Services, note)
}

func (p *Publisher) indexOf(ctx context.Context, inForce Index, revision chervilladder.Revision) (Index, error) {
	if revision == inForce.Revision {
		return inForce, nil
	}
	return PastIndex(ctx, p.platform, revision)
}

// base returns the index in force, or a *ConflictError if its revision isn't the
// expected one.
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

// conflict returns a *ConflictError with the services that changed between a
// base and the index in force. If base is nil, it is read from the history.
func (p *Publisher) conflict(ctx context.Context, revision chervilladder.Revision, base *Index, inForce Index) error {
	e := &ConflictError{Base: revision, Current: inForce}
	if base == nil && revision > 0 {
		past, err := PastIndex(ctx, p.platform, revision)
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

// merge applies a change to the files in force and validates the result.
func merge(ctx context.Context, platform chervilladder.Platform, base Index, change Change) (Bundle, error) {
	if err := servicefile.Check(change.Files); err != nil {
		return Bundle{}, err
	}
	replaced := make(map[chervilladder.ServiceID]bool)
	for _, s := range change.Remove {
		if _, ok := base.entry(s); !ok {
			return Bundle{}, fmt.Errorf("remove service %s: it is not in force at revision %d; check its name", s, base.Revision)
		}
		replaced[s] = true
	}
	for _, f := range change.Files {
		replaced[f.Service] = true
	}
	var unchanged []Entry
	for _, e := range base.Services {
		if !replaced[e.Service] {
			unchanged = append(unchanged, e)
		}
	}
	files, err := loadFiles(ctx, platform, unchanged, Bundle{})
	if err != nil {
		return Bundle{}, err
	}
	return newBundle(append(files, change.Files...))
}

// newBundle validates files together and returns them as a bundle, ordered by
// service id.
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

// replaceIndex archives the index in force in the history, then replaces it.
func (p *Publisher) replaceIndex(ctx context.Context, base stored, services []Entry, note string) (Index, error) {
	next := Index{
		Revision:  base.Revision + 1,
		Attempt:   p.newAttempt(),
		Operator:  p.operator,
		Published: time.Now().UTC().Truncate(time.Second),
		Note:      note,
		Services:  services,
	}
	if err := p.archive(ctx, base.Index); err != nil {
		return Index{}, fmt.Errorf("nothing published: %w", err)
	}
	if err := p.putIndex(ctx, base, next); err != nil {
		return Index{}, err
	}
	return next, nil
}
