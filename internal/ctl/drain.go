package ctl

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/operator"
)

type drainCmd struct {
	console *console
	vmOptions
	Args struct {
		VM string `positional-arg-name:"VM"`
	} `positional-args:"yes" required:"yes"`
}

func drainCommand(c *console) command {
	return command{
		name:  "drain",
		short: "Drain a VM without interrupting requests",
		long: "Requests that a VM hand over the databases that it owns, finish the work in flight and then shut down. " +
			"The VM is looked up by its name among the given addresses. Draining a VM twice is safe." +
			"\n\nExample:\nchervilladderctl drain vm-3 --vm 10.0.1.3:8081",
		handler: &drainCmd{console: c},
	}
}

type drainResult struct {
	VM      chervilladder.VMID `json:"vm"`
	Address string             `json:"address"`
}

func (r drainResult) text() string {
	return fmt.Sprintf("%s at %s is draining\n", r.VM, r.Address)
}

// Execute looks up the VM by name and drains it.
func (k *drainCmd) Execute([]string) error {
	vm := chervilladder.VMID(k.Args.VM)
	answers, errs := queryAll[operator.Status](k.console.ctx, k.vmOptions, "/v1/status")
	for i, a := range answers {
		if errs[i] != nil || a.VM != vm {
			continue
		}
		address := k.VMs[i]
		if err := k.call(k.console.ctx, http.MethodPost, address, "/v1/drain", nil); err != nil {
			return fmt.Errorf("drain %s: %w; try again, draining twice is safe", vm, err)
		}
		return k.console.show(drainResult{VM: vm, Address: address})
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("drain %s: not found: %w", vm, err)
	}
	return &UsageError{
		What: fmt.Sprintf("no VM %s at the given addresses", vm),
		Fix:  "give its operators' address by --vm ADDR",
	}
}
