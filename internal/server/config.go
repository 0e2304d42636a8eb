package server

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// Operator is someone who may administer.
type Operator struct {
	Name        string
	TokenSHA256 string
}

// Config sets a Server up.
type Config struct {
	// Self is this entry; its Address is where peers reach it.
	Self tracker.Member
	// Listen, AdminListen and PeerListen are addresses by IP number.
	Listen      string
	AdminListen string
	PeerListen  string
	// Seeds are peers' addresses for a start while the platform is down.
	Seeds     []string
	Operators []Operator
	Table     provider.Table
	Cloud     provider.Cloud
	Upstreams dispatcher.UpstreamClient
	Peers     *messenger.Client
	Security  messenger.Security
	Log       zerolog.Logger
	// Now tells the time; it has a monotonic reading.
	Now func() time.Time
	// Seed fixes random choices; 0 takes one from the entry's id.
	Seed uint64
	// StopGrace bounds a planned stop.
	StopGrace time.Duration
	// LeaseLifetime is how long a duty's lease lasts.
	LeaseLifetime time.Duration
}

const (
	// headerIdempotencyKey, headerDeadline and headerLastEvent are the callers' headers.
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "X-Request-Id"
	headerVerdict        = "X-Verdict"

	maxBodyBytes     = 1 << 20
	maxKeyBytes      = 256
	maxHeaderBytes   = 16 << 10
	maxTokensLimit   = 32 << 10
	defaultMaxTokens = 16

	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	// writeTimeout bounds one write to a caller that reads slowly.
	writeTimeout = 30 * time.Second
	// endedRunRetention is how long an ended run can still be read.
	endedRunRetention = 60 * time.Second
	// unreadTimeout is how long a run without readers goes on.
	unreadTimeout = 15 * time.Second
	maxRuns       = 20000

	defaultStopGrace     = 10 * time.Minute
	defaultLeaseLifetime = 3 * time.Second
	leaseMarginDivisor   = 3
)

func (c *Config) setDefaults() {
	if c.StopGrace <= 0 {
		c.StopGrace = defaultStopGrace
	}
	if c.LeaseLifetime <= 0 {
		c.LeaseLifetime = defaultLeaseLifetime
	}
}
