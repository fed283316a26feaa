package platform

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"time"
)

// The defaults of a Config.
const (
	DefaultTimeout = 2 * time.Second
	DefaultWait    = 30 * time.Second
)

// maxIdleConnections bounds the connections that are kept for the next call.
const maxIdleConnections = 4

// Config configures a Client.
type Config struct {
	// Address is where the platform listens, such as "10.0.0.9:8080". It
	// may be a URL.
	Address string
	// Timeout bounds each call, a watch's wait aside; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// Wait is how long a watch waits at the platform for a change; zero
	// means DefaultWait. A watch whose connection has gone silent ends
	// after Wait and Timeout together.
	Wait time.Duration
	// Transport carries the calls; nil means a transport of the client's
	// own.
	Transport http.RoundTripper
}

// Client calls the platform. It implements chervilladder.Platform:
//
//	client, err := platform.New(platform.Config{Address: "10.0.0.9:8080"})
//	if err != nil {
//		return err
//	}
//	index, err := client.Get(ctx, chervilladder.KindIndex, "current")
type Client struct {
	base     string
	timeout  time.Duration
	wait     time.Duration
	http     *http.Client
	counters counters
}

// New returns a client. It makes no call.
func New(c Config) (*Client, error) {
	if c.Address == "" {
		return nil, errors.New("platform: no address; set the platform's address and port")
	}
	if c.Timeout < 0 || c.Wait < 0 {
		return nil, errors.New("platform: negative timeout; set a length of time above zero")
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	if c.Transport == nil {
		c.Transport = newTransport(c.Timeout)
	}
	return &Client{
		base:    baseURL(c.Address),
		timeout: c.Timeout,
		wait:    c.Wait,
		http:    &http.Client{Transport: c.Transport},
	}, nil
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

func newTransport(timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
}
