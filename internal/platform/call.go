package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/chervilladder/chervilladder"
)

// The bounds of what is read of an answer.
const (
	maxAnswerBytes = 256 << 20
	maxErrorBytes  = 4 << 10
)

// StatusError reports an answer whose status is none that a call expects.
type StatusError struct {
	Status  int
	Message string
}

// Error gives the status, the platform's words and what to do.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s; %s", e.Status, e.Message, e.fix())
}

func (e *StatusError) fix() string {
	switch {
	case e.Status == http.StatusRequestEntityTooLarge:
		return "make the value smaller; an object holds up to a megabyte"
	case e.Status == http.StatusTooManyRequests:
		return "wait, then try again"
	case e.Status >= http.StatusInternalServerError:
		return "try again when the platform is up"
	default:
		return "check that the address is that of the platform's object API"
	}
}

// call is one call to the platform.
type call struct {
	operation string
	method    string
	path      string
	body      []byte
	timeout   time.Duration
}

// answer is what the platform said.
type answer struct {
	status int
	body   []byte
}

// do makes a call. Its error is a *chervilladder.PlatformError, which has
// Unknown set when a put may have taken effect.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	a, err := c.roundTrip(ctx, k)
	if err == nil {
		return a, nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// An idle connection may have gone silent as well.
		c.http.CloseIdleConnections()
	}
	return answer{}, c.fail(k, sent.Load(), fmt.Errorf("%w; check that the platform at %s is up", err, c.base))
}

func (c *Client) roundTrip(ctx context.Context, k call) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, err
	}
	if len(k.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	c.counters.bytesOut.Add(uint64(len(k.body)))
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	c.counters.bytesIn.Add(uint64(len(body)))
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, body: body}, nil
}

// fail counts a failed call and wraps its error.
func (c *Client) fail(k call, sent bool, err error) error {
	unknown := sent && k.method == http.MethodPut
	c.counters.failed.Add(1)
	if unknown {
		c.counters.unknown.Add(1)
	}
	return &chervilladder.PlatformError{Operation: k.operation, Unknown: unknown, Err: err}
}

// refused wraps an answer with a status that the call doesn't expect. A
// change is certain not to have been made only if the platform faults the
// call itself.
func (c *Client) refused(k call, a answer) error {
	err := &StatusError{Status: a.status, Message: errorMessage(a.body)}
	return c.fail(k, a.status >= http.StatusInternalServerError || a.status < http.StatusBadRequest, err)
}

func errorMessage(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	return string(bytes.TrimSpace(body[:min(len(body), maxErrorBytes)]))
}

// decode reads the JSON of an answer.
func (c *Client) decode(k call, a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return c.fail(k, true, fmt.Errorf("answer of %s: %w; check that it is the platform", c.base, err))
	}
	return nil
}
