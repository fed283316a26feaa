package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// parallelVMs bounds the VMs that are queried concurrently.
const parallelVMs = 16

// maxVMAnswerBytes bounds how much of a VM's answer is read.
const maxVMAnswerBytes = 64 << 20

// vmOptions are the options of commands that query VMs.
type vmOptions struct {
	VMs       []string      `long:"vm" value-name:"ADDR" required:"yes" description:"The operators' address of a VM (may be repeated)"`
	VMTimeout time.Duration `long:"vm-timeout" value-name:"TIME" default:"3s" description:"The timeout of one call to a VM"`
}

// VMError reports that a request to a VM failed.
type VMError struct {
	Address string
	Err     error
}

// Error names the address and says what to do.
func (e *VMError) Error() string {
	return fmt.Sprintf("VM at %s: %v; check that the address is the VM's address for operators and that the VM is up", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *VMError) Unwrap() error { return e.Err }

// call sends a request to one VM and decodes the answer, unless into is nil.
func (o vmOptions) call(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, o.VMTimeout)
	defer cancel()
	if err := callVM(ctx, method, address, path, into); err != nil {
		return &VMError{Address: address, Err: err}
	}
	return nil
}

func callVM(ctx context.Context, method, address, path string, into any) error {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(address, "/")+path, nil)
	if err != nil {
		return err
	}
	// HTTP proxy settings are ignored, as operators reach VMs directly.
	// Connections aren't kept, as each VM gets only one or two requests.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxVMAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), 200)])))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

// queryAll queries the same path of every VM. The answers and errors are in the
// order of the addresses; the error of a VM that answered is nil.
func queryAll[T any](ctx context.Context, o vmOptions, path string) ([]T, []error) {
	answers := make([]T, len(o.VMs))
	errs := make([]error, len(o.VMs))
	var group errgroup.Group
	group.SetLimit(parallelVMs)
	for i, address := range o.VMs {
		group.Go(func() error {
			errs[i] = o.call(ctx, http.MethodGet, address, path, &answers[i])
			return nil
		})
	}
	_ = group.Wait()
	return answers, errs
}
