package emulator

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// Prices of the emulated offers, in price units per hour.
const (
	spotPrice     = 0.3
	onDemandPrice = 1.0
)

// cloud holds the VMs that can be started. Their processes run already:
// starting a VM only moves it from the spares to the platform's VM list.
type cloud struct {
	spares         map[string]provider.VM
	startedByToken map[string]string
	lastFence      uint64
	orders         []Order
}

// AddSpare adds a VM that Start may put on the VM list.
func (p *Platform) AddSpare(vm provider.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cloud.spares == nil {
		p.cloud.spares = map[string]provider.VM{}
		p.cloud.startedByToken = map[string]string{}
	}
	p.cloud.spares[vm.ID] = vm
}

func (p *Platform) mountCloud(mux *http.ServeMux) {
	mux.HandleFunc("POST /cloud/offers", handleJSON(func(*http.Request, struct{}) ([]provider.Offer, error) {
		return p.Offers(context.Background())
	}))
	mux.HandleFunc("POST /cloud/start", p.withLostWrites(handleJSON(func(_ *http.Request, o provider.StartOrder) (provider.OrderReply, error) {
		return p.Start(context.Background(), o)
	})))
	mux.HandleFunc("POST /cloud/stop", p.withLostWrites(handleJSON(func(_ *http.Request, o provider.StopOrder) (provider.OrderReply, error) {
		return p.Stop(context.Background(), o)
	})))
}

// Offers lists a reclaimable and an on-demand offer for each failure domain
// that has VMs or spares.
func (p *Platform) Offers(context.Context) ([]provider.Offer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := map[string]bool{}
	for _, vm := range p.vms {
		domains[vm.FailureDomain] = true
	}
	for _, vm := range p.cloud.spares {
		domains[vm.FailureDomain] = true
	}
	offers := []provider.Offer{}
	for domain := range domains {
		offers = append(offers,
			provider.Offer{FailureDomain: domain, Reclaimable: true, PricePerHour: spotPrice},
			provider.Offer{FailureDomain: domain, PricePerHour: onDemandPrice})
	}
	slices.SortFunc(offers, func(a, b provider.Offer) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return offers, nil
}

// Start moves a matching spare VM to the VM list. An order whose token started
// a VM before returns that VM. An order with a fencing token below the highest
// one received is refused.
func (p *Platform) Start(_ context.Context, o provider.StartOrder) (provider.OrderReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.start(o)
	p.cloud.record(p.now().Sub(p.startedAt), o.Holder, o.Fence, reply)
	return reply, nil
}

// start carries out an order. The lock must be held.
func (p *Platform) start(o provider.StartOrder) provider.OrderReply {
	if id, ok := p.cloud.startedByToken[o.Token]; ok {
		return provider.OrderReply{VMID: id}
	}
	if reason := p.checkFence(o.Fence); reason != "" {
		return provider.OrderReply{Refused: true, Reason: reason}
	}
	if p.faults.RefuseStarts && o.Reclaimable {
		return provider.OrderReply{Refused: true, Reason: "no capacity"}
	}
	var ids []string
	for id, vm := range p.cloud.spares {
		if vm.FailureDomain == o.FailureDomain && vm.Deployment == o.Deployment && vm.Version == o.Version && vm.Reclaimable == o.Reclaimable {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return provider.OrderReply{Refused: true, Reason: "no capacity"}
	}
	id := slices.Min(ids)
	p.vms[id] = p.cloud.spares[id]
	delete(p.cloud.spares, id)
	p.cloud.startedByToken[o.Token] = id
	return provider.OrderReply{VMID: id}
}

// Stop removes a VM from the VM list. An order with a fencing token below the
// highest one received is refused.
func (p *Platform) Stop(_ context.Context, o provider.StopOrder) (provider.OrderReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := provider.OrderReply{VMID: o.VMID}
	if reason := p.checkFence(o.Fence); reason != "" {
		reply = provider.OrderReply{Refused: true, Reason: reason}
	} else {
		delete(p.vms, o.VMID)
	}
	p.cloud.record(p.now().Sub(p.startedAt), o.Holder, o.Fence, reply)
	return reply, nil
}

// checkFence returns why an order with this fencing token is refused, or an
// empty string. It stores the token of an order that is not refused.
func (p *Platform) checkFence(fence uint64) string {
	if fence < p.cloud.lastFence {
		return "old fence number"
	}
	p.cloud.lastFence = fence
	return ""
}
