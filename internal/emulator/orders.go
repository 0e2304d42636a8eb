package emulator

import (
	"fmt"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// Order is a call that started or stopped a VM, as it arrived at the emulated cloud.
type Order struct {
	// AtMS is the time since the platform's start, in milliseconds.
	AtMS    int64  `json:"at_ms"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	VMID    string `json:"vm_id,omitempty"`
	Refused bool   `json:"refused"`
	Reason  string `json:"why,omitempty"`
}

// Orders returns the orders that have arrived, oldest first.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order{}, p.cloud.orders...)
}

// record adds an order and its reply to the journal. The lock must be held.
func (c *cloud) record(at time.Duration, holder string, fence uint64, reply provider.OrderReply) {
	c.orders = append(c.orders, Order{
		AtMS: at.Milliseconds(), Holder: holder, Fence: fence, VMID: reply.VMID, Refused: reply.Refused, Reason: reply.Reason,
	})
}

// CheckOneLeader returns an error if the orders, refused ones included, are not those of
// one leader at a time: their fences must not fall, no two holders may have one fence, and
// a holder must not act before and after another one within gap.
func CheckOneLeader(orders []Order, gap time.Duration) error {
	holders := map[uint64]string{}
	// last is the newest order of each holder.
	last := map[string]Order{}
	for i, order := range orders {
		if holder, ok := holders[order.Fence]; ok && holder != order.Holder {
			return fmt.Errorf("order %d: fence %d of %s and of %s", i, order.Fence, holder, order.Holder)
		}
		holders[order.Fence] = order.Holder
		if i > 0 && order.Fence < orders[i-1].Fence {
			return fmt.Errorf("order %d: fence %d of %s after fence %d of %s", i, order.Fence, order.Holder, orders[i-1].Fence, orders[i-1].Holder)
		}
		previous, ok := last[order.Holder]
		since := time.Duration(order.AtMS-previous.AtMS) * time.Millisecond
		if ok && i > 0 && orders[i-1].Holder != order.Holder && since < gap {
			return fmt.Errorf("order %d: %s and %s acted in turn within %s", i, order.Holder, orders[i-1].Holder, since)
		}
		last[order.Holder] = order
	}
	return nil
}
