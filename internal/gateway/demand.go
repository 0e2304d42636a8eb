package gateway

import (
	"math"
	"time"
)

// demandMemory is the time over which demand is averaged.
const demandMemory = 3 * time.Second

// demand is what one entry's callers ask of a deployment, averaged.
type demand struct {
	// Requests and Prompt are requests and prompt tokens a second.
	Requests float64 `cbor:"1,keyasint"`
	Prompt   float64 `cbor:"2,keyasint"`
	// Running is the number of requests in flight.
	Running float64 `cbor:"3,keyasint"`
	// FirstMS is the time to the first part of an answer.
	FirstMS float64 `cbor:"4,keyasint"`

	at time.Time
}

// fade returns the share that is left of what was seen at d.at.
func (d *demand) fade(now time.Time) float64 {
	passed := now.Sub(d.at)
	d.at = now
	if passed <= 0 {
		return 1
	}
	return math.Exp(-passed.Seconds() / demandMemory.Seconds())
}

func (d *demand) decay(now time.Time) {
	left := d.fade(now)
	d.Requests *= left
	d.Prompt *= left
}

// ask counts a request.
func (d *demand) ask(now time.Time, prompt int) {
	d.decay(now)
	d.Requests += 1 / demandMemory.Seconds()
	d.Prompt += float64(prompt) / demandMemory.Seconds()
}

// first counts the time to a first part.
func (d *demand) first(took time.Duration) {
	const weight = 0.05
	d.FirstMS += weight * (float64(took.Milliseconds()) - d.FirstMS)
}

// demandFor returns the demand record of a deployment. The lock must be held.
func (b *beliefs) demandFor(deployment string) *demand {
	d, ok := b.demand[deployment]
	if !ok {
		d = &demand{}
		b.demand[deployment] = d
	}
	return d
}

func (b *beliefs) ownDemand(now time.Time) map[string]demand {
	own := map[string]demand{}
	for name, d := range b.demand {
		d.decay(now)
		own[name] = *d
	}
	return own
}

// totalDemand returns what the callers of all entries in reach ask of a
// deployment. The lock must be held.
func (b *beliefs) totalDemand(now time.Time, deployment string) demand {
	own := b.demandFor(deployment)
	own.decay(now)
	total := *own
	for _, p := range b.peers {
		if now.Sub(p.heardAt) > peerReach {
			continue
		}
		d := p.demand[deployment]
		total.Requests += d.Requests
		total.Prompt += d.Prompt
		total.Running += d.Running
		total.FirstMS = max(total.FirstMS, d.FirstMS)
	}
	return total
}
