package ctl

import (
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
	"github.com/chervilladder/chervilladder/platform"
)

// platformOptions are the options of commands that call the platform.
type platformOptions struct {
	Platform string        `long:"platform" env:"CHERVILLADDER_PLATFORM" value-name:"ADDR" description:"The platform's address and port"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"2s" description:"The timeout of one call to the platform"`
}

func (o platformOptions) client() (*platform.Client, error) {
	if o.Platform == "" {
		return nil, &UsageError{What: "no platform given", Fix: "give --platform ADDR or set CHERVILLADDER_PLATFORM"}
	}
	if o.Timeout <= 0 {
		return nil, &UsageError{What: "--timeout is not positive", Fix: "give a duration such as 2s"}
	}
	return platform.NewClient(platform.ClientConfig{Store: chervilladder.Address(o.Platform), Timeout: o.Timeout})
}

// publishOptions are the options of commands that publish a revision.
type publishOptions struct {
	platformOptions
	Operator       string  `long:"operator" env:"CHERVILLADDER_OPERATOR" value-name:"NAME" description:"Who publishes (default: the user's name)"`
	Note           string  `long:"note" value-name:"TEXT" description:"The reason, shown in the history"`
	ExpectRevision *uint64 `long:"expect-revision" value-name:"N" description:"Publish only if this revision is in force"`
}

func (o publishOptions) publisher(c *console) (*publish.Publisher, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	operator := o.Operator
	if operator == "" {
		operator = c.user
	}
	if operator == "" {
		return nil, &UsageError{What: "no operator given", Fix: "give --operator NAME or set CHERVILLADDER_OPERATOR"}
	}
	return publish.New(publish.Config{Platform: client, Operator: operator})
}

func (o publishOptions) expect() *chervilladder.Revision {
	if o.ExpectRevision == nil {
		return nil
	}
	r := chervilladder.Revision(*o.ExpectRevision)
	return &r
}

// pathArgs are the service files that a command reads.
type pathArgs struct {
	Paths []string `positional-arg-name:"PATH" required:"1"`
}

func (a pathArgs) read() ([]servicefile.File, error) {
	return servicefile.ReadPaths(a.Paths...)
}
