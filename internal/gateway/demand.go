package gateway

import (
	"math"
	"time"
)

// demandTimeConstant is the time over which demand is averaged.
const demandTimeConstant = 3 * time.Second

// demand is what one entry's callers ask of a deployment, averaged.
type demand struct {
	// RequestRate and Prompt are requests and prompt tokens a second.
	RequestRate     float64 `cbor:"1,keyasint"`
	PromptTokenRate float64 `cbor:"2,keyasint"`
	// Running is the number of requests in flight.
	Running float64 `cbor:"3,keyasint"`
	// PrefillSpeed is how many tokens of a long prompt an engine with little else to do
	// takes a second until the first event, kept prefixes included.
	PrefillSpeed float64 `cbor:"4,keyasint"`
	// SpeedEntries is the number of entries whose Speed this is the mean of.
	SpeedEntries int `cbor:"5,keyasint,omitempty"`

	updatedAt time.Time
}

// decayFactor returns the share that is left of what was seen at d.at.
func (d *demand) decayFactor(now time.Time) float64 {
	passed := now.Sub(d.updatedAt)
	d.updatedAt = now
	if passed <= 0 {
		return 1
	}
	return math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
}

func (d *demand) decay(now time.Time) {
	left := d.decayFactor(now)
	d.RequestRate *= left
	d.PromptTokenRate *= left
}

// addRequest counts a request.
func (d *demand) addRequest(now time.Time, prompt int) {
	d.decay(now)
	d.RequestRate += 1 / demandTimeConstant.Seconds()
	d.PromptTokenRate += float64(prompt) / demandTimeConstant.Seconds()
}

const (
	// minSpeedPromptTokens is the number of tokens from which on the reading of a prompt
	// takes most of the time to the first event.
	minSpeedPromptTokens = 2000
	// speedSampleWeight is the weight of one sample of Speed.
	speedSampleWeight = 0.05
	// maxSpeedLoad is the load below which an engine has little else to do.
	maxSpeedLoad = 2.5
)

// addFirstEvent counts the time to the addFirstEvent event of a request that met an engine
// with the given load.
func (d *demand) addFirstEvent(prompt int, load float64, took time.Duration) {
	if prompt < minSpeedPromptTokens || load > maxSpeedLoad || took <= 0 {
		return
	}
	sample := float64(prompt) / took.Seconds()
	if d.PrefillSpeed == 0 {
		d.PrefillSpeed, d.SpeedEntries = sample, 1
	}
	d.PrefillSpeed += speedSampleWeight * (sample - d.PrefillSpeed)
}

// demandFor returns the demand record of a deployment. The lock must be held.
func (b *state) demandFor(deployment string) *demand {
	d, ok := b.demand[deployment]
	if !ok {
		d = &demand{}
		b.demand[deployment] = d
	}
	return d
}

func (b *state) ownDemand(now time.Time) map[string]demand {
	own := map[string]demand{}
	for name, d := range b.demand {
		d.decay(now)
		own[name] = *d
	}
	return own
}

// totalDemand returns what the callers of all entries in reach ask of a
// deployment. The lock must be held.
func (b *state) totalDemand(now time.Time, deployment string) demand {
	own := b.demandFor(deployment)
	own.decay(now)
	total := *own
	for _, h := range b.received {
		if now.Sub(h.at) <= peerTimeout {
			total = total.plus(h.message.Demand[deployment])
		}
	}
	return total
}

// plus adds up demands. Speed is that of the mean entry that has measured one.
func (d demand) plus(other demand) demand {
	if both := d.SpeedEntries + other.SpeedEntries; both > 0 {
		d.PrefillSpeed = (d.PrefillSpeed*float64(d.SpeedEntries) + other.PrefillSpeed*float64(other.SpeedEntries)) / float64(both)
		d.SpeedEntries = both
	}
	d.RequestRate += other.RequestRate
	d.PromptTokenRate += other.PromptTokenRate
	d.Running += other.Running
	return d
}

// minus takes one demand out of a sum that holds it. The speed stays.
func (d demand) minus(other demand) demand {
	d.RequestRate = max(0, d.RequestRate-other.RequestRate)
	d.PromptTokenRate = max(0, d.PromptTokenRate-other.PromptTokenRate)
	d.Running = max(0, d.Running-other.Running)
	return d
}
