package resolver

import "time"

// Kind says what may be repeated of a request.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run once for each attempt of their caller.
	AtMostOnce Kind = "at_most_once"
	// Streaming requests are answered with a series of numbered events. They
	// may run once, unless the route's streams can be resumed.
	Streaming Kind = "streaming"
)

// Share is a deployment's part of a route's requests.
type Share struct {
	Deployment string
	Weight     float64
}

// Route is one kind of request.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting. Zero
	// means that only the caller's deadline counts.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to its first event, that is good.
	TargetLatency time.Duration
	// TargetGap is the longest good pause between two events of a stream.
	TargetGap time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of upstreams that one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable marks streams that go on at another upstream after an event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Engine is what the model engines of a deployment have in common.
type Engine struct {
	Slots            int
	KVCapacityTokens int
	CanMoveKV        bool
	CanBackUpKV      bool
	PinDuration      time.Duration
	HoldDuration     time.Duration
	KVBytesPerToken  int
	LinkMbps         float64
	MaxCacheCalls    int
}

// Fleet bounds the number of a deployment's upstreams in each failure domain.
type Fleet struct {
	MinPerDomain int
	MaxPerDomain int
	// BootTime is the time from an order to a serving upstream.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable VM as a share of that of
	// an on-demand VM.
	ReclaimablePriceRatio float64
	// OnDemandPrices is the price of an on-demand VM a second by failure domain.
	OnDemandPrices map[string]float64
}

// Deployment is a group of upstreams that serve the same requests.
type Deployment struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream takes from all entries together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Fleet is nil where the number of upstreams is not ours to order.
	Fleet *Fleet
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer with its keys and its quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before that of the route. Nil leaves the route's.
	Priority *int
	// DefaultTokens is what a request without token counts costs.
	DefaultTokens int
	// QuotaInTokens says that the quota is in tokens rather than requests.
	QuotaInTokens bool
	// Rate is the quota a second over all entries; zero means no limit.
	Rate  float64
	Burst float64
}

// Config is one version of what is in force.
type Config struct {
	Version       uint64
	Routes        []Route
	Deployments   []Deployment
	Limits        Limits
	Organisations []Organisation
}
