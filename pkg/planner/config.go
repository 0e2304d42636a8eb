package planner

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

// Kind is the kind of a deployment's upstreams.
type Kind string

// The kinds of upstreams.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// The weights of organisations by size.
const (
	smallWeight = 1
	largeWeight = 4
)

// Config is one generation of the configuration.
type Config struct {
	Generation uint64 `json:"generation"`
	// Token is unique to the submission, so that its submitter can recognise it.
	Token         string         `json:"token"`
	SubmittedBy   string         `json:"submitted_by"`
	SubmittedMS   int64          `json:"submitted_ms"`
	Firm          string         `json:"firm"`
	Region        string         `json:"region"`
	Domains       []string       `json:"failure_domains"`
	Organisations []Organisation `json:"organisations"`
	Deployments   []Deployment   `json:"deployments"`
	Routes        []Route        `json:"routes"`
	Fleet         Fleet          `json:"fleet"`
	// Answers is the text that the configuration was planned from.
	Answers string `json:"answers"`
}

// Organisation is one organisation whose callers are served.
type Organisation struct {
	Name        string `json:"name"`
	Weight      int    `json:"weight"`
	TokenSHA256 string `json:"token_sha256"`
}

// Deployment is one kind of upstream.
type Deployment struct {
	Name        string     `json:"name"`
	Kind        Kind       `json:"kind"`
	Version     string     `json:"version"`
	ChecksFence bool       `json:"checks_fence"`
	Move        MovePolicy `json:"move"`
}

// MovePolicy says how new versions of a deployment are rolled out.
type MovePolicy struct {
	StepShares           []float64 `json:"ladder"`
	OutcomesNeeded       []int     `json:"needed"`
	MaxFirstStepInFlight int       `json:"callers_cap"`
	BakeMS               int64     `json:"bake_ms"`
	FinishWithinMS       int64     `json:"finish_within_ms"`
	MinStepMS            int64     `json:"least_step_ms"`
}

// Policy returns the policy as a mover.Policy.
func (p MovePolicy) Policy() mover.Policy {
	return mover.Policy{
		StepShares:           p.StepShares,
		OutcomesNeeded:       p.OutcomesNeeded,
		BakeTime:             time.Duration(p.BakeMS) * time.Millisecond,
		MaxFirstStepInFlight: p.MaxFirstStepInFlight,
		MinStep:              time.Duration(p.MinStepMS) * time.Millisecond,
	}
}

// Route is one kind of request.
type Route struct {
	Name           string          `json:"name"`
	Deployment     string          `json:"deployment"`
	Idempotent     bool            `json:"idempotent"`
	Urgency        limiter.Urgency `json:"urgency"`
	AnswerWithinMS int64           `json:"answer_within_ms"`
	FinishWithinMS int64           `json:"finish_within_ms"`
}

// AnswerWithin returns the target time to the first part of a response.
func (r Route) AnswerWithin() time.Duration {
	return time.Duration(r.AnswerWithinMS) * time.Millisecond
}

// FinishWithin returns the longest time to the end of a response.
func (r Route) FinishWithin() time.Duration {
	return time.Duration(r.FinishWithinMS) * time.Millisecond
}

// Fleet bounds the fleet's VMs.
type Fleet struct {
	ReclaimableShare float64 `json:"reclaimable_share"`
	PricePerHour     float64 `json:"price_per_hour"`
	ProvisionsVMs    bool    `json:"buys_vms"`
}

// Plan generates a configuration from checked answers. The submitter sets
// Generation, Token, SubmittedBy, SubmittedMS and Answers.
func Plan(a Answers) Config {
	cfg := Config{
		Firm:    a.Firm,
		Region:  a.Region,
		Domains: a.FailureDomains,
		Fleet:   Fleet{ReclaimableShare: a.Targets.ReclaimableShare, PricePerHour: a.Targets.PricePerHour, ProvisionsVMs: a.Targets.ProvisionsVMs},
	}
	for _, o := range a.Organisations {
		cfg.Organisations = append(cfg.Organisations, Organisation{Name: o.Name, Weight: weightOf(o.Size), TokenSHA256: o.TokenSHA256})
	}
	for _, d := range a.Deployments {
		cfg.Deployments = append(cfg.Deployments, Deployment{
			Name: d.Name, Kind: Kind(d.Kind), Version: d.Version, ChecksFence: d.ChecksFence, Move: planMove(a.Moves),
		})
	}
	for _, r := range a.Requests {
		cfg.Routes = append(cfg.Routes, Route{
			Name:           r.Name,
			Deployment:     r.Deployment,
			Idempotent:     r.Repeatable != nil && *r.Repeatable,
			Urgency:        urgencyOf(r.Urgency),
			AnswerWithinMS: time.Duration(r.AnswerWithin).Milliseconds(),
			FinishWithinMS: time.Duration(r.FinishWithin).Milliseconds(),
		})
	}
	return cfg
}

func weightOf(size string) int {
	if size == "large" {
		return largeWeight
	}
	return smallWeight
}

func urgencyOf(answer string) limiter.Urgency {
	switch answer {
	case "high":
		return limiter.High
	case "can_wait":
		return limiter.CanWait
	default:
		return limiter.Normal
	}
}

// planMove returns the default policy. High caution gets more and smaller steps
// and half the requests in flight, low caution fewer and larger steps.
func planMove(m MoveAnswer) MovePolicy {
	base := mover.DefaultPolicy()
	p := MovePolicy{
		StepShares:           base.StepShares,
		OutcomesNeeded:       base.OutcomesNeeded,
		MaxFirstStepInFlight: base.MaxFirstStepInFlight,
		BakeMS:               time.Duration(m.WatchAfter).Milliseconds(),
		FinishWithinMS:       time.Duration(m.FinishWithin).Milliseconds(),
		MinStepMS:            base.MinStep.Milliseconds(),
	}
	switch m.Caution {
	case "high":
		p.StepShares = []float64{0.005, 0.02, 0.08, 0.25, 0.6, 1}
		p.OutcomesNeeded = []int{30, 60, 120, 240, 480, 0}
		p.MaxFirstStepInFlight = base.MaxFirstStepInFlight / 2
	case "low":
		p.StepShares = []float64{0.02, 0.1, 0.4, 1}
		p.OutcomesNeeded = []int{30, 60, 120, 0}
	}
	return p
}

// Organisation returns the organisation whose token has the given digest.
func (c *Config) Organisation(tokenSHA256 string) (Organisation, bool) {
	for _, o := range c.Organisations {
		if o.TokenSHA256 == tokenSHA256 {
			return o, true
		}
	}
	return Organisation{}, false
}

// Route returns a route by name.
func (c *Config) Route(name string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Deployment returns a deployment by name.
func (c *Config) Deployment(name string) (Deployment, bool) {
	for _, d := range c.Deployments {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Key returns the table key of a generation.
func Key(generation uint64) string { return fmt.Sprintf("%s%020d", KeyPrefix, generation) }

// KeyPrefix is the prefix of the table keys of all generations.
const KeyPrefix = "config/"

// Decode decodes a configuration that Encode encoded.
func Decode(value []byte) (Config, error) {
	var cfg Config
	err := json.Unmarshal(value, &cfg)
	return cfg, err
}

// Encode encodes a configuration for the platform's table.
func Encode(cfg Config) ([]byte, error) { return json.Marshal(cfg) }
