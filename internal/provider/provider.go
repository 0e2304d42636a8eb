package provider

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Row is one row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Put is a conditional write: it applies only if the row has version Expect.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
}

// PutResult says whether a Put applied. Row is the row after the call.
type PutResult struct {
	Applied bool `json:"applied"`
	Row     Row  `json:"row"`
}

// Scan selects rows by prefix: those after the key After, at most Limit of them.
type Scan struct {
	Prefix  string `json:"prefix"`
	After   string `json:"after"`
	Limit   int    `json:"limit"`
	Reverse bool   `json:"reverse"`
}

// Table is the platform's transactional table. An error means that the outcome
// is unknown: a write may have taken effect.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Put(ctx context.Context, put Put) (PutResult, error)
	Batch(ctx context.Context, puts []Put) ([]PutResult, error)
	Scan(ctx context.Context, scan Scan) ([]Row, error)
}

// Role is what a VM runs.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VM is one row of the platform's VM list.
type VM struct {
	ID            string  `json:"id"`
	Role          Role    `json:"role"`
	Address       string  `json:"address"`
	PeerAddress   string  `json:"peer_address,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	Leaving       bool    `json:"leaving"`
	Version       string  `json:"version,omitempty"`
	Deployment    string  `json:"deployment,omitempty"`
	Slots         int     `json:"slots,omitempty"`
	Reclaimable   bool    `json:"reclaimable"`
	PricePerHour  float64 `json:"price_per_hour,omitempty"`
}

// maxSlots bounds the slots of a VM: one that claims any number would get all requests.
const maxSlots = 1 << 16

// validate returns an error for a VM without an address that can be connected to, or with an
// impossible number of slots.
func (v VM) validate() error {
	_, port, err := net.SplitHostPort(v.Address)
	if err != nil {
		return Unreachable.Wrap(err, "VM %q", v.ID)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return Unreachable.New("VM %q has no port %q", v.ID, port)
	}
	if v.Slots < 0 || v.Slots > maxSlots {
		return Unreachable.New("VM %q has %d slots", v.ID, v.Slots)
	}
	return nil
}

// Notice announces that a VM will be reclaimed.
type Notice struct {
	VMID        string `json:"vm_id"`
	RemainingMS int64  `json:"left_ms"`
}

// Remaining returns the time until the VM is terminated.
func (n Notice) Remaining() time.Duration { return time.Duration(n.RemainingMS) * time.Millisecond }

// Offer is the price of a class of VMs in a failure domain.
type Offer struct {
	FailureDomain string  `json:"failure_domain"`
	Reclaimable   bool    `json:"reclaimable"`
	PricePerHour  float64 `json:"price_per_hour"`
}

// StartOrder orders one VM. Orders with the same token start at most one VM. Holder is the
// entry that sends it as the leader.
type StartOrder struct {
	Token         string `json:"token"`
	Holder        string `json:"holder"`
	Fence         uint64 `json:"fence"`
	Deployment    string `json:"deployment"`
	Version       string `json:"version"`
	FailureDomain string `json:"failure_domain"`
	Reclaimable   bool   `json:"reclaimable"`
}

// StopOrder releases one VM. Holder is the entry that sends it as the leader.
type StopOrder struct {
	VMID   string `json:"vm_id"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// OrderReply is the response to an order. A refused start is not an error.
type OrderReply struct {
	Refused bool   `json:"refused"`
	Reason  string `json:"why,omitempty"`
	VMID    string `json:"vm_id,omitempty"`
}

// Cloud lists VMs and reclaim notices and accepts orders for VMs. The VM list may be
// out of date, the notices are not. An error of an order means that its outcome is
// unknown.
type Cloud interface {
	VMs(ctx context.Context) ([]VM, error)
	Notices(ctx context.Context) ([]Notice, error)
	Offers(ctx context.Context) ([]Offer, error)
	Start(ctx context.Context, order StartOrder) (OrderReply, error)
	Stop(ctx context.Context, order StopOrder) (OrderReply, error)
}

var (
	namespace = errorx.NewNamespace("platform")
	// Unreachable is the type of errors after which the outcome of a call is
	// unknown.
	Unreachable = namespace.NewType("unreachable")
)

// PutWithReadBack performs put. If the outcome is unknown it reads the row back:
// a row that holds the value of put was written by put, so the value must be
// unique to its writer. An error means that the outcome is still unknown.
func PutWithReadBack(ctx context.Context, table Table, put Put) (PutResult, error) {
	result, err := table.Put(ctx, put)
	if err == nil {
		return detectOwnWrite(result, put), nil
	}
	row, readErr := table.Get(ctx, put.Key)
	if readErr != nil {
		return PutResult{}, err
	}
	if row.Version == put.Expect {
		return PutResult{}, err
	}
	return detectOwnWrite(PutResult{Row: row}, put), nil
}

// detectOwnWrite reports a refused write as applied if the row holds its value:
// an earlier attempt of the same write took effect.
func detectOwnWrite(result PutResult, put Put) PutResult {
	if !result.Applied && result.Row.Version > 0 && bytes.Equal(result.Row.Value, put.Value) {
		result.Applied = true
	}
	return result
}
