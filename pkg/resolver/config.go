package resolver

import "time"

// Kind says whether the requests of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each request of the caller.
	AtMostOnce Kind = "at_most_once"
	// Streaming requests have a response of numbered events. They run at most
	// once, unless the streams of the route are resumable.
	Streaming Kind = "streaming"
)

// Share is the weight of a deployment in the traffic split of a route.
type Share struct {
	Deployment string
	Weight     float64
}

// Route describes the requests with one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait. Zero means that only
	// the caller's deadline applies.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the maximum time between two events of a stream.
	TargetGap time.Duration
	// Priority is the urgency of the route; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the maximum number of upstreams on which one request may run.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams continue on another upstream after their last event.
	Resumable bool
	// Regions are those whose upstreams may get the requests; none means all.
	Regions []string
}

// Retryable reports whether a request of the route may run more than once.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Engine describes the model engines of a deployment.
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

// Fleet describes the VMs that may be ordered for a deployment.
type Fleet struct {
	MinPerDomain int
	MaxPerDomain int
	// BootTime is the time from the order of a VM until its upstream serves.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable VM divided by that of an
	// on-demand VM.
	ReclaimablePriceRatio float64
	// OnDemandPrices is the price per second of an on-demand VM by failure domain.
	OnDemandPrices map[string]float64
}

// Deployment is a group of upstreams that serve the same requests.
type Deployment struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections from all entries
	// together to one upstream.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold upstream bears from all
	// entries together. Zero means that its upstreams are never cold.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Fleet is nil if the gateway does not scale the deployment.
	Fleet *Fleet
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer with its API keys and quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route, unless nil.
	Priority *int
	// DefaultTokens is the cost of a request without token counts, in tokens.
	DefaultTokens int
	// QuotaInTokens says that the quota counts tokens rather than requests.
	QuotaInTokens bool
	// Rate is the quota per second over all entries; zero means no limit.
	Rate  float64
	Burst float64
	// Regions are those whose upstreams may get the requests; none means all.
	Regions []string
}

// Config is one version of the configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Deployments   []Deployment
	Limits        Limits
	Organisations []Organisation
}
