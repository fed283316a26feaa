package platform

import (
	"context"
	"net/http"

	"github.com/chervilladder/chervilladder"
)

// stateLeaving is the state of a VM that is about to go.
const stateLeaving = "leaving"

type vmJSON struct {
	VM         chervilladder.VMID         `json:"vm"`
	DataCentre chervilladder.DataCentreID `json:"data-centre"`
	Peer       chervilladder.Address      `json:"peer"`
	State      string                     `json:"state"`
}

// VMs returns the platform's list of VMs, which lags.
func (c *Client) VMs(ctx context.Context) ([]chervilladder.VM, error) {
	c.counters.vms.Add(1)
	k := call{operation: "list vms", method: http.MethodGet, path: "/v1/vms", timeout: c.timeout}
	a, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, c.refused(k, a)
	}
	var list struct {
		VMs []vmJSON `json:"vms"`
	}
	if err := c.decode(k, a, &list); err != nil {
		return nil, err
	}
	vms := make([]chervilladder.VM, 0, len(list.VMs))
	for _, v := range list.VMs {
		vms = append(vms, chervilladder.VM{
			ID: v.VM, DataCentre: v.DataCentre, Peer: v.Peer, Leaving: v.State == stateLeaving,
		})
	}
	return vms, nil
}
