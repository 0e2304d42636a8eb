package gateway

import "context"

// fleetManager orders VMs for the deployments whose size is ours to order.
type fleetManager struct {
	g    *Gateway
	duty *duty
}

func newFleetManager(g *Gateway, d *duty) *fleetManager { return &fleetManager{g: g, duty: d} }

func (f *fleetManager) idle() {}

func (f *fleetManager) work(context.Context) {}
