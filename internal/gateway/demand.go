package gateway

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential decay of demand.
const demandTimeConstant = 3 * time.Second

// demand is the averaged demand of one or several entries' callers for a deployment.
type demand struct {
	// RequestRate and PromptTokenRate are requests and prompt tokens per second.
	RequestRate     float64 `cbor:"1,keyasint"`
	PromptTokenRate float64 `cbor:"2,keyasint"`
	// Running is the number of requests in flight.
	Running float64 `cbor:"3,keyasint"`
	// PrefillSpeed is the number of prompt tokens per second until the first event, for
	// long prompts on an engine with little other load. Cached prefixes count.
	PrefillSpeed float64 `cbor:"4,keyasint"`
	// SpeedEntries is the number of entries over which PrefillSpeed is averaged.
	SpeedEntries int `cbor:"5,keyasint,omitempty"`

	updatedAt time.Time
}

// decayFactor returns the factor by which the rates have decayed since the last update,
// and sets the time of the update to now.
func (d *demand) decayFactor(now time.Time) float64 {
	elapsed := now.Sub(d.updatedAt)
	d.updatedAt = now
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
}

func (d *demand) decay(now time.Time) {
	factor := d.decayFactor(now)
	d.RequestRate *= factor
	d.PromptTokenRate *= factor
}

// addRequest counts a request.
func (d *demand) addRequest(now time.Time, promptTokens int) {
	d.decay(now)
	d.RequestRate += 1 / demandTimeConstant.Seconds()
	d.PromptTokenRate += float64(promptTokens) / demandTimeConstant.Seconds()
}

const (
	// minSpeedPromptTokens is the length of the shortest prompts whose prefill takes
	// most of the time to the first event.
	minSpeedPromptTokens = 2000
	// speedSampleWeight is the weight of one sample in the moving average PrefillSpeed.
	speedSampleWeight = 0.05
	// maxSpeedLoad is the largest load, in requests, at which a sample of PrefillSpeed
	// is taken.
	maxSpeedLoad = 2.5
)

// addFirstEvent adds the time to the first event of a request to the average
// PrefillSpeed. Load is that of the engine when the request was sent.
func (d *demand) addFirstEvent(promptTokens int, load float64, latency time.Duration) {
	if promptTokens < minSpeedPromptTokens || load > maxSpeedLoad || latency <= 0 {
		return
	}
	sample := float64(promptTokens) / latency.Seconds()
	if d.PrefillSpeed == 0 {
		d.PrefillSpeed, d.SpeedEntries = sample, 1
	}
	d.PrefillSpeed += speedSampleWeight * (sample - d.PrefillSpeed)
}

// demandFor returns the demand record of a deployment. The lock must be held.
func (st *state) demandFor(deployment string) *demand {
	d, ok := st.demand[deployment]
	if !ok {
		d = &demand{}
		st.demand[deployment] = d
	}
	return d
}

func (st *state) ownDemand(now time.Time) map[string]demand {
	byDeployment := map[string]demand{}
	for name, d := range st.demand {
		d.decay(now)
		byDeployment[name] = *d
	}
	return byDeployment
}

// totalDemand returns the demand of the callers of all reachable entries for a
// deployment. The lock must be held.
func (st *state) totalDemand(now time.Time, deployment string) demand {
	own := st.demandFor(deployment)
	own.decay(now)
	total := *own
	for _, last := range st.received {
		if now.Sub(last.at) <= peerTimeout {
			total = total.plus(last.message.Demand[deployment])
		}
	}
	return total
}

// plus returns the sum of d and other. PrefillSpeed is the mean over the entries that
// have measured one.
func (d demand) plus(other demand) demand {
	if entries := d.SpeedEntries + other.SpeedEntries; entries > 0 {
		d.PrefillSpeed = (d.PrefillSpeed*float64(d.SpeedEntries) + other.PrefillSpeed*float64(other.SpeedEntries)) / float64(entries)
		d.SpeedEntries = entries
	}
	d.RequestRate += other.RequestRate
	d.PromptTokenRate += other.PromptTokenRate
	d.Running += other.Running
	return d
}

// minus subtracts one demand from a sum that contains it. PrefillSpeed does not change.
func (d demand) minus(other demand) demand {
	d.RequestRate = max(0, d.RequestRate-other.RequestRate)
	d.PromptTokenRate = max(0, d.PromptTokenRate-other.PromptTokenRate)
	d.Running = max(0, d.Running-other.Running)
	return d
}
