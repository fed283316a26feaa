package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/chervilladder/chervilladder"
)

var _ chervilladder.Platform = (*Client)(nil)

// objectJSON is an object as the platform encodes it.
type objectJSON struct {
	Kind    chervilladder.ObjectKind `json:"kind"`
	Name    chervilladder.ObjectName `json:"name"`
	Version chervilladder.Version    `json:"version"`
	Value   json.RawMessage          `json:"value"`
}

func (o objectJSON) object() chervilladder.Object {
	return chervilladder.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

type listJSON struct {
	Version chervilladder.Version `json:"version"`
	Objects []objectJSON          `json:"objects"`
}

func (l listJSON) objects() []chervilladder.Object {
	objects := make([]chervilladder.Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		objects = append(objects, o.object())
	}
	return objects
}

func objectPath(kind chervilladder.ObjectKind, name chervilladder.ObjectName) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(string(name))
}

// Get returns an object, or a *chervilladder.NotFoundError.
func (c *Client) Get(ctx context.Context, kind chervilladder.ObjectKind, name chervilladder.ObjectName) (chervilladder.Object, error) {
	c.counters.gets.Add(1)
	k := call{
		operation: fmt.Sprintf("get %s/%s", kind, name),
		method:    http.MethodGet,
		path:      objectPath(kind, name),
		timeout:   c.timeout,
	}
	a, err := c.do(ctx, k)
	if err != nil {
		return chervilladder.Object{}, err
	}
	switch a.status {
	case http.StatusOK:
		var o objectJSON
		if err := c.decode(k, a, &o); err != nil {
			return chervilladder.Object{}, err
		}
		return o.object(), nil
	case http.StatusNotFound:
		return chervilladder.Object{}, &chervilladder.NotFoundError{Kind: kind, Name: name}
	default:
		return chervilladder.Object{}, c.refused(k, a)
	}
}

// Put writes an object if its version is still the given one. It returns a
// *chervilladder.ConflictError otherwise, and a *chervilladder.PlatformError
// with Unknown set when the answer was lost.
func (c *Client) Put(ctx context.Context, o chervilladder.Object) (chervilladder.Version, error) {
	c.counters.puts.Add(1)
	k := call{
		operation: fmt.Sprintf("put %s/%s", o.Kind, o.Name),
		method:    http.MethodPut,
		path:      fmt.Sprintf("%s?if-version=%d", objectPath(o.Kind, o.Name), o.Version),
		body:      o.Value,
		timeout:   c.timeout,
	}
	a, err := c.do(ctx, k)
	if err != nil {
		return 0, err
	}
	switch a.status {
	case http.StatusOK:
		var put struct {
			Version chervilladder.Version `json:"version"`
		}
		err := c.decode(k, a, &put)
		return put.Version, err
	case http.StatusConflict:
		return 0, c.conflict(k, a, o)
	default:
		return 0, c.refused(k, a)
	}
}

func (c *Client) conflict(k call, a answer, o chervilladder.Object) error {
	var lost struct {
		Current objectJSON `json:"current"`
	}
	if err := c.decode(k, a, &lost); err != nil {
		return err
	}
	c.counters.conflicts.Add(1)
	current := lost.Current.object()
	current.Kind, current.Name = o.Kind, o.Name
	return &chervilladder.ConflictError{Current: current}
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind chervilladder.ObjectKind) ([]chervilladder.Object, error) {
	c.counters.lists.Add(1)
	return c.objects(ctx, call{
		operation: fmt.Sprintf("list %s", kind),
		path:      "/v1/objects/" + url.PathEscape(string(kind)),
		timeout:   c.timeout,
	})
}

// Watch returns the objects of a kind that have changed after a version. It
// waits for one if there are none, and returns an empty list when the
// platform ends the wait.
func (c *Client) Watch(ctx context.Context, kind chervilladder.ObjectKind, after chervilladder.Version) ([]chervilladder.Object, error) {
	c.counters.watches.Add(1)
	return c.objects(ctx, call{
		operation: fmt.Sprintf("watch %s", kind),
		path:      fmt.Sprintf("/v1/watch/%s?after=%d&wait=%s", url.PathEscape(string(kind)), after, c.wait),
		timeout:   c.wait + c.timeout,
	})
}

func (c *Client) objects(ctx context.Context, k call) ([]chervilladder.Object, error) {
	k.method = http.MethodGet
	a, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, c.refused(k, a)
	}
	var l listJSON
	if err := c.decode(k, a, &l); err != nil {
		return nil, err
	}
	return l.objects(), nil
}
