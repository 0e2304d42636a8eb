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

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request without its body.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them, Path the part that
	// routes match.
	Target string
	Path   string
	Host   string
	// APIKey is the caller's, empty if it sent none.
	APIKey string
	// Timeout is how long the caller waits. Zero means that it did not say.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are zero for requests that are not for a
	// model.
	PromptTokens      int
	MaxResponseTokens int
	// PromptParts are those of the prompt, in order. Requests share them; the last one
	// may be the request's own.
	PromptParts []PromptPart
	// LastEventID is the id of the last event that the caller has of a stream that it
	// goes on with, empty for a new one.
	LastEventID string
	// Header is what goes on to an upstream.
	Header http.Header
}

// Attempt is what an upstream is told beyond the caller's request.
type Attempt struct {
	Upstream     string
	Organisation string
	TimeLeft     time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the last event that the caller has, empty for none.
	LastEventID string
}

// ResponseInfo is what an upstream's answer says beyond its body.
type ResponseInfo struct {
	Verdict judge.Verdict
	// Sealed marks the answer of the upstream that was asked.
	Sealed bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
}

// Codec translates callers' and upstreams' messages.
type Codec interface {
	Request(r *http.Request) (Request, error)
	// SetAttempt adds to the header of a request to an upstream.
	SetAttempt(header http.Header, attempt Attempt)
	Response(status int, header http.Header) ResponseInfo
	// CopyHeader copies an upstream's header to a caller's.
	CopyHeader(to, from http.Header)
	// SetRefusal adds to the header of a refusal.
	SetRefusal(header http.Header, requestID string, wait time.Duration)
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
	Deployment   string
	To           string
	FinishWithin time.Duration
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
	ExposureShare     float64
	ExposureAllowance float64
}

// Tables names the tables of the store.
type Tables struct {
	// Operator holds the configuration, under Config.
	Operator  string
	ConfigKey string
	// Upstreams lists the upstreams.
	Upstreams string
	// MoveStatus tells operators how moves go.
	MoveStatus string
	// Entries lists the entries, and Duties holds leases and what they decided.
	Entries string
	Leases  string
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
	MoveStatus(status MoveStatus) (provider.StoreRow, error)
}

// Quotas are the bounds that count over all entries.
type Quotas struct {
	// RetryRatio and RetryExtra bound retries in each RetryWindow.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// QuotaAllowance is what organisations may spend beyond their quotas in the time
	// in which operators look at them.
	QuotaAllowance float64
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
	UsageWindow   time.Duration
	MaxUsageDelay time.Duration
	// OrdersVMs says that the fleet's size is ours to order.
	OrdersVMs bool
	// MinLeaderGap is the shortest time between two holders of a duty.
	MinLeaderGap time.Duration
	// StopGrace is the time from the order to stop to the end of the process.
	StopGrace time.Duration
	// MaxLeavingDelay is the time in which a leaving upstream has to be known.
	MaxLeavingDelay time.Duration

	Log zerolog.Logger
	Now func() time.Time
}
