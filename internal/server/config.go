package server

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// Operator is a user of the administration API. TokenSHA256 is the hexadecimal
// digest of the operator's bearer token.
type Operator struct {
	Name        string
	TokenSHA256 string
}

// Config configures a Server.
type Config struct {
	// Self is this entry. Its Address is the one that peers connect to.
	Self tracker.Member
	// Listen, AdminListen and PeerListen are the IP addresses and ports to listen
	// on for callers, operators and peers.
	Listen      string
	AdminListen string
	PeerListen  string
	// Seeds are addresses of peers that provide the state to an entry that starts
	// while the platform is down.
	Seeds     []string
	Operators []Operator
	Table     provider.Table
	Cloud     provider.Cloud
	Upstreams dispatcher.UpstreamClient
	Peers     *messenger.Client
	Security  messenger.Security
	Log       zerolog.Logger
	// Now returns the time, with a monotonic clock reading.
	Now func() time.Time
	// LeaseNow is a steady clock that goes on while the machine is suspended, as that of
	// timekeeper. Nil means Now.
	LeaseNow func() time.Time
	// Seed seeds random choices; 0 derives a seed from the entry's ID.
	Seed uint64
	// StopGrace bounds the drain of a planned stop. 0 means 10 minutes.
	StopGrace time.Duration
	// LeaseLifetime is the lifetime of the leaders' leases. 0 means 3 seconds.
	LeaseLifetime time.Duration
}

const (
	// Headers of callers' requests.
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerLastEventID    = "Last-Event-ID"
	// Headers of responses.
	headerRequestID = "X-Request-Id"
	headerVerdict   = "X-Verdict"

	maxBodyBytes     = 1 << 20
	maxKeyBytes      = 256
	maxHeaderBytes   = 16 << 10
	maxTokensLimit   = 32 << 10
	defaultMaxTokens = 16

	// headerTimeout and bodyTimeout bound the reading of one request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	// writeTimeout bounds one write to a caller that reads slowly.
	writeTimeout = 30 * time.Second
	// endedRunRetention is how long a run can still be read after it has ended.
	endedRunRetention = 60 * time.Second
	// unreadTimeout is how long a run without readers is continued.
	unreadTimeout = 15 * time.Second
	// maxRuns is the number of runs above which ended runs are not retained.
	maxRuns = 20000

	defaultStopGrace     = 10 * time.Minute
	defaultLeaseLifetime = 3 * time.Second
	// leaseMarginDivisor divides the lifetime of a lease; the quotient is the margin
	// before expiry during which the holder no longer acts.
	leaseMarginDivisor = 3
)

func (c *Config) setDefaults() {
	if c.StopGrace <= 0 {
		c.StopGrace = defaultStopGrace
	}
	if c.LeaseLifetime <= 0 {
		c.LeaseLifetime = defaultLeaseLifetime
	}
	if c.LeaseNow == nil {
		c.LeaseNow = c.Now
	}
}
