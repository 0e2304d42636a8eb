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

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request describes a caller's request without its body.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them. Path is the path
	// alone, which routes match.
	Target string
	Path   string
	Host   string
	// APIKey is empty if the caller sent none.
	APIKey string
	// Timeout is how long the caller waits for the response. Zero means that
	// the request gives no timeout.
	Timeout time.Duration
	// PromptTokens and MaxResponseTokens are zero for requests that are not for
	// a model.
	PromptTokens      int
	MaxResponseTokens int
	// ExpectedTokens is the expected number of response tokens, MaxResponseTokens if the
	// caller gives no other.
	ExpectedTokens int
	// PromptParts are the parts of the prompt in order. Requests may share
	// them, except that the last one may be unique to the request.
	PromptParts []PromptPart
	// LastEventID is the id of the last event that the caller received from a
	// stream that it resumes, empty for a new stream.
	LastEventID string
	// Header is forwarded to the upstream.
	Header http.Header
}

// Attempt is what the codec adds to the request for one attempt on an upstream.
type Attempt struct {
	Upstream     string
	Organisation string
	TimeLeft     time.Duration
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the last event that the caller received, empty
	// for none.
	LastEventID string
	// CacheSource is the address of the upstream that ran the request before, CacheHandle
	// that of the KV cache which the request goes on from. Both are empty for none.
	CacheSource string
	CacheHandle string
}

// ResponseInfo is decoded from the status and header of an upstream's response.
type ResponseInfo struct {
	Verdict judge.Verdict
	// Sealed reports that the response carries the seal of the upstream that
	// the request was sent to.
	Sealed bool
	// Misdirected reports that another upstream now has the address.
	Misdirected bool
	// Leaving reports that the upstream says that it leaves, RetryAfter how long it wants
	// nothing from this entry.
	Leaving    bool
	RetryAfter time.Duration
}

// Codec translates between the gateway and the messages of callers and
// upstreams.
type Codec interface {
	Request(r *http.Request) (Request, error)
	// SetAttempt adds the fields of an attempt to the header of a request to an
	// upstream.
	SetAttempt(header http.Header, attempt Attempt)
	Response(status int, header http.Header) ResponseInfo
	// CopyHeader copies an upstream's response header to the response for the
	// caller.
	CopyHeader(to, from http.Header)
	// SetRefusal adds the fields of a refusal to its header.
	SetRefusal(header http.Header, requestID string, retryAfter time.Duration)
}

// Upstream is an upstream as the platform lists it. Its ID identifies one run
// of its process.
type Upstream struct {
	router.Upstream
	// Name identifies the upstream in requests to it. Unlike the ID it may stay
	// the same after a restart.
	Name string
	// RowVersion is the version of the row that says so. The gateway sets it.
	RowVersion provider.Version
	// StartedAt is when the process started by the platform's clock, zero if that is not
	// known.
	StartedAt   time.Time
	Leaving     bool
	LeavesIn    time.Duration
	Reclaimable bool
}

// Usage is the number of requests per organisation that upstreams began to run
// in one window. Holder and Fence identify the lease of the leader that reports
// it.
type Usage struct {
	Window accountant.Window
	Counts accountant.Counts
	Holder string
	Fence  uint64
}

// FleetOrder sets the number of a deployment's VMs of one kind in a failure
// domain. Holder and Fence identify the lease of the leader that sends it.
type FleetOrder struct {
	Deployment    string
	FailureDomain string
	Reclaimable   bool
	VMs           int
	Holder        string
	Fence         uint64
}

// MoveOrder orders the move of a deployment's requests to another version.
type MoveOrder struct {
	Deployment   string
	To           string
	FinishWithin time.Duration
}

// MoveStatus is the state of a move as operators see it.
type MoveStatus struct {
	Deployment string
	To         string
	// State is mover.Moving, mover.Done or mover.RolledBack.
	State charter.State
}

// MoveLimits bound how many requests a bad version may get: a share of the
// requests between the order and its deadline, plus a fixed number.
type MoveLimits struct {
	ExposureShare     float64
	ExposureAllowance float64
}

// Tables names the tables of the store.
type Tables struct {
	// Operator holds the configuration, under the key ConfigKey, and the orders
	// for moves.
	Operator  string
	ConfigKey string
	// Upstreams lists the upstreams.
	Upstreams string
	// MoveStatus holds the states of moves for operators.
	MoveStatus string
	// Entries lists the entries. Leases holds the leader's lease and the usage
	// counts that the leader reports.
	Entries string
	Leases  string
	// Quarantine lists the requests that crash the upstreams that run them.
	Quarantine string
}

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	Config(value []byte) (resolver.Config, error)
	Upstream(key string, value []byte) (Upstream, error)
	// Move and MoveStatus return false for rows of other kinds.
	Move(key string, value []byte) (MoveOrder, bool, error)
	// Evacuation returns the failure domain that a row of the operator's table evacuates
	// while it exists, and false for rows of other kinds.
	Evacuation(key string) (string, bool)
	MoveStatus(key string, value []byte) (MoveStatus, bool, error)
}

// Encoder encodes rows of the platform's tables.
type Encoder interface {
	MoveStatus(status MoveStatus) (provider.StoreRow, error)
}

// SharedLimits are limits that count over all entries.
type SharedLimits struct {
	// In each RetryWindow, retries are limited to RetryRatio times the requests
	// plus RetryAllowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// QuotaAllowance is how much organisations may spend beyond their quotas in
	// the period over which operators check them.
	QuotaAllowance float64
}

// Config configures a Gateway. All fields are required unless their comments say
// otherwise.
type Config struct {
	ID            string
	FailureDomain string
	// Regions are the regions of all failure domains. Nil means that they are not known.
	Regions map[string]string
	Listen  string
	// ReadyListen is the address that serves readiness checks, at ReadyPath.
	ReadyListen string
	ReadyPath   string
	// MetricsListen is the address that serves metrics. Empty means that
	// metrics are not served.
	MetricsListen string
	PeerListen    string
	LocalIP       string
	// Capacity is the processor time that the entry may use, in cores. The
	// largest entries of a failure domain become relays.
	Capacity float64

	Store provider.Store
	// TableReader, if set, reads tables from other entries while the store turns this one away.
	TableReader TableReader
	Tables      Tables
	Decoder     Decoder
	Encoder     Encoder
	Codec       Codec
	// IDHeader is the header in which responses repeat a request's id.
	IDHeader string
	// Cloud receives fleet orders and usage reports. If it is nil the entry
	// never becomes the leader.
	Cloud Cloud
	// CacheMover copies KV caches between engines. If it is nil none is copied.
	CacheMover CacheMover

	Quotas SharedLimits
	Moves  MoveLimits
	// UsageWindow is the length of a window of usage. The report of a window is
	// due MaxUsageDelay after its end. Zero means that usage is not reported.
	UsageWindow   time.Duration
	MaxUsageDelay time.Duration
	// PredictTimes lets the learnt speeds of upstreams decide where requests go.
	PredictTimes bool
	// WeighPrefixes chooses upstreams by the reading that held parts of a prompt save, instead
	// of keeping a prefix on its upstream up to a bound of the load.
	WeighPrefixes bool
	// OrdersVMs enables fleet orders.
	OrdersVMs bool
	// MinLeaderGap is the shortest time between calls of one leader before and after calls
	// of another one.
	MinLeaderGap time.Duration
	// StopGrace is the time from the cancellation of Run's context to the end of
	// the process.
	StopGrace time.Duration
	// MaxLeavingDelay is the time within which the entry must detect that an
	// upstream is leaving.
	MaxLeavingDelay time.Duration
	// MaxConfigDelay is the time after the store acknowledged a configuration within which
	// the entry must act on it, also while other entries are disturbed.
	MaxConfigDelay time.Duration
	// MaxStaleness is the time after the end of a disturbance within which the entry's
	// copies of the store's tables must be up to date.
	MaxStaleness time.Duration
	// Memory is the memory in bytes that the process may use. Zero means that it is not known.
	Memory int64
	// MaxDescriptors is the number of descriptors that the process may open. Zero means that
	// it is not known.
	MaxDescriptors int
	// MaxCallerConns is the largest number of connections of callers. Zero derives it from
	// Memory and MaxDescriptors.
	MaxCallerConns int
	// AdmissionControl makes requests wait, or refuses them at once, while all upstreams
	// that may get them are known to be full.
	AdmissionControl bool
	// StoreHistory is how long the store keeps the changes of tables. Zero means that it is
	// not known.
	StoreHistory time.Duration

	Log zerolog.Logger
	Now func() time.Time
	// LeaseNow is a steady clock that goes on while the machine is suspended, as that of
	// timekeeper. Nil means Now.
	LeaseNow func() time.Time
}
