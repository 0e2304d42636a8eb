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
	// Speed is how many tokens of a long prompt an engine with little else to do
	// takes a second until the first event, kept prefixes included.
	Speed float64 `cbor:"4,keyasint"`
	// Measured is the number of entries whose Speed this is the mean of.
	Measured int `cbor:"5,keyasint,omitempty"`

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

const (
	// longPrompt is the number of tokens from which on the reading of a prompt
	// takes most of the time to the first event.
	longPrompt = 2000
	// speedStep is the weight of one sample of Speed.
	speedStep = 0.05
	// idleLoad is the load below which an engine has little else to do.
	idleLoad = 2.5
)

// first counts the time to the first event of a request that met an engine
// with the given load.
func (d *demand) first(prompt int, load float64, took time.Duration) {
	if prompt < longPrompt || load > idleLoad || took <= 0 {
		return
	}
	sample := float64(prompt) / took.Seconds()
	if d.Speed == 0 {
		d.Speed, d.Measured = sample, 1
	}
	d.Speed += speedStep * (sample - d.Speed)
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
	if both := d.Measured + other.Measured; both > 0 {
		d.Speed = (d.Speed*float64(d.Measured) + other.Speed*float64(other.Measured)) / float64(both)
		d.Measured = both
	}
	d.Requests += other.Requests
	d.Prompt += other.Prompt
	d.Running += other.Running
	return d
}

// minus takes one demand out of a sum that holds it. The speed stays.
func (d demand) minus(other demand) demand {
	d.Requests = max(0, d.Requests-other.Requests)
	d.Prompt = max(0, d.Prompt-other.Prompt)
	d.Running = max(0, d.Running-other.Running)
	return d
}
