package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Ask is a caller's request without its body.
type Ask struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them, Path the part that
	// routes match.
	Target string
	Path   string
	Host   string
	// Key is the caller's, empty if it sent none.
	Key string
	// Patience is how long the caller waits. Zero means that it did not say.
	Patience time.Duration
	// PromptTokens and AnswerTokens are zero for requests that are not for a
	// model.
	PromptTokens int
	AnswerTokens int
	// Parts are those of the prompt, in order. Requests share them; the last one
	// may be the request's own.
	Parts []Part
	// After is the id of the last event that the caller has of a stream that it
	// goes on with, empty for a new one.
	After string
	// Header is what goes on to an upstream.
	Header http.Header
}

// Attempt is what an upstream is told beyond the caller's request.
type Attempt struct {
	Upstream     string
	Organisation string
	Left         time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// After is the id of the last event that the caller has, empty for none.
	After string
}

// Reply is what an upstream's answer says beyond its body.
type Reply struct {
	Verdict judge.Verdict
	// Genuine marks the answer of the upstream that was asked.
	Genuine bool
	// Elsewhere says that another upstream has the address.
	Elsewhere bool
}

// Codec translates callers' and upstreams' messages.
type Codec interface {
	Ask(r *http.Request) (Ask, error)
	// Attempt adds to the header of a request to an upstream.
	Attempt(header http.Header, attempt Attempt)
	Reply(status int, header http.Header) Reply
	// Answer copies an upstream's header to a caller's.
	Answer(to, from http.Header)
	// Refuse adds to the header of a refusal.
	Refuse(header http.Header, requestID string, wait time.Duration)
}

// Upstream is an upstream as the platform lists it. Its ID names one start of
// its process.
type Upstream struct {
	router.Upstream
	// Name is how an attempt names the upstream; it may outlive a start.
	Name        string
	Leaving     bool
	LeavesIn    time.Duration
	Reclaimable bool
}

// Usage is what organisations began in one window.
type Usage struct {
	Window accountant.Window
	Counts accountant.Counts
	Holder string
	Fence  uint64
}

// FleetOrder sets the number of a deployment's VMs of a kind in a failure
// domain.
type FleetOrder struct {
	Deployment    string
	FailureDomain string
	Reclaimable   bool
	VMs           int
	Holder        string
	Fence         uint64
}

// MoveOrder asks for a deployment's requests to be moved to another version.
type MoveOrder struct {
	Deployment string
	To         string
	Within     time.Duration
}

// MoveStatus is what operators are told of a move.
type MoveStatus struct {
	Deployment string
	To         string
	// State is mover.Moving, mover.Done or mover.TakenBack.
	State charter.State
}

// MoveLimits bound what a version that turns out bad may have had: a share of
// the requests from the order to its deadline, and some beyond it.
type MoveLimits struct {
	Exposure float64
	Extra    float64
}

// Tables names the tables of the store.
type Tables struct {
	// Operator holds the configuration, under Config.
	Operator string
	Config   string
	// Upstreams lists the upstreams.
	Upstreams string
	// Status tells operators how moves go.
	Status string
	// Entries lists the entries, and Duties holds leases and what they decided.
	Entries string
	Duties  string
}

// Decoder reads rows of the platform's tables.
type Decoder interface {
	Config(value []byte) (resolver.Config, error)
	Upstream(key string, value []byte) (Upstream, error)
	// Move and MoveStatus return false for rows of other kinds.
	Move(key string, value []byte) (MoveOrder, bool, error)
	MoveStatus(key string, value []byte) (MoveStatus, bool, error)
}

// Encoder writes rows of the platform's tables.
type Encoder interface {
	MoveStatus(status MoveStatus) (provider.Entry, error)
}

// Quotas are the bounds that count over all entries.
type Quotas struct {
	// RetryRatio and RetryExtra bound retries in each RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// QuotaSlack is what organisations may spend beyond their quotas in the time
	// in which operators look at them.
	QuotaSlack float64
}

// Config sets a gateway up. All parts are needed unless they say otherwise.
type Config struct {
	ID            string
	FailureDomain string
	Listen        string
	// ReadyListen is where readiness is asked for, at ReadyPath.
	ReadyListen string
	ReadyPath   string
	// MetricsListen is where metrics are served; empty means nowhere.
	MetricsListen string
	PeerListen    string
	LocalIP       string
	// Capacity is the processor time that the entry may use, in cores. The
	// largest entries of a failure domain pass on news.
	Capacity float64

	Store   provider.Store
	Tables  Tables
	Decoder Decoder
	Encoder Encoder
	Codec   Codec
	// IDHeader is the header in which answers repeat a request's id.
	IDHeader string
	// Cloud takes orders. Nil means that there is none.
	Cloud Cloud

	Quotas Quotas
	Moves  MoveLimits
	// UsageWindow is the length of a window of usage, reported within UsageLate
	// of its end. Zero means that usage is not reported.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// OrdersVMs says that the fleet's size is ours to order.
	OrdersVMs bool
	// Lease is the shortest time between two holders of a duty.
	Lease time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// LeaveWithin is the time in which a leaving upstream has to be known.
	LeaveWithin time.Duration

	Log zerolog.Logger
	Now func() time.Time
}
