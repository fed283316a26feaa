package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// parallelReads limits how many contents are read concurrently.
const parallelReads = 8

// content is the value of an object of chervilladder.KindService.
type content struct {
	File    string                  `json:"file"`
	Service chervilladder.ServiceID `json:"service"`
}

// CorruptError reports a content that is missing or doesn't match its index
// entry.
type CorruptError struct {
	Entry Entry
	What  string
}

// Error names the object, what is wrong and what to do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("object %s/%s: %s; publish the service %s again",
		chervilladder.KindService, e.Entry.Object, e.What, e.Entry.Service)
}

// Load reads the index in force and the files that it names.
func Load(ctx context.Context, p chervilladder.Platform) (Index, []servicefile.File, error) {
	b, err := Refresh(ctx, p, Bundle{})
	return b.Index, b.Files, err
}

// Refresh reads the configuration in force, reusing the unchanged files of
// have. It returns have if no newer revision is in force.
func Refresh(ctx context.Context, p chervilladder.Platform, have Bundle) (Bundle, error) {
	index, err := Current(ctx, p)
	if err != nil {
		return Bundle{}, err
	}
	if index.Revision <= have.Revision {
		return have, nil
	}
	files, err := loadFiles(ctx, p, index.Services, have)
	if err != nil {
		return Bundle{}, fmt.Errorf("load revision %d: %w", index.Revision, err)
	}
	return Bundle{Revision: index.Revision, Index: index, Files: files}, nil
}

func loadFiles(ctx context.Context, p chervilladder.Platform, entries []Entry, have Bundle) ([]servicefile.File, error) {
	files := make([]servicefile.File, len(entries))
	loaded := have.filesByEntry()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for i, entry := range entries {
		if f, ok := loaded[entry]; ok {
			files[i] = f
			continue
		}
		group.Go(func() error {
			f, err := loadFile(ctx, p, entry)
			if err != nil {
				return err
			}
			files[i] = *f
			return nil
		})
	}
	return files, group.Wait()
}

func loadFile(ctx context.Context, p chervilladder.Platform, e Entry) (*servicefile.File, error) {
	o, err := p.Get(ctx, chervilladder.KindService, e.Object)
	var missing *chervilladder.NotFoundError
	if errors.As(err, &missing) {
		return nil, &CorruptError{Entry: e, What: "is missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("read service %s: %w", e.Service, err)
	}
	var c content
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return nil, &CorruptError{Entry: e, What: err.Error()}
	}
	return parseContent(e, c.File)
}

// parseContent checks a content against its index entry and parses it.
func parseContent(e Entry, text string) (*servicefile.File, error) {
	if hashOf(text) != e.Hash {
		return nil, &CorruptError{Entry: e, What: "its content does not match the hash in the index"}
	}
	f, err := servicefile.Parse(string(e.Object), []byte(text))
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", e.Service, err)
	}
	if f.Service != e.Service {
		return nil, &CorruptError{Entry: e, What: fmt.Sprintf("describes the service %s", f.Service)}
	}
	return f, nil
}
