package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// DatagramsConfig configures Datagrams.
type DatagramsConfig[M any] struct {
	// Deliver hands a message to the process at an address.
	Deliver func(to string, message M)
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// Delay and Jitter are the shortest time of a message and how much longer it may take:
	// messages overtake each other. LateShare of them take LateBy more.
	Delay, Jitter time.Duration
	LateShare     float64
	LateBy        time.Duration
	Seed          uint64
}

// Datagrams is a network that loses, delays and reorders messages. It is safe for
// concurrent use.
type Datagrams[M any] struct {
	cfg    DatagramsConfig[M]
	mu     sync.Mutex
	random *rand.Rand
}

// NewDatagrams returns a network.
func NewDatagrams[M any](cfg DatagramsConfig[M]) *Datagrams[M] {
	return &Datagrams[M]{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Send sends a message to an address.
func (d *Datagrams[M]) Send(to string, message M) {
	delay, lost := d.draw()
	if lost {
		return
	}
	time.AfterFunc(delay, func() { d.cfg.Deliver(to, message) })
}

// draw returns how long the next message takes, or that it is lost.
func (d *Datagrams[M]) draw() (delay time.Duration, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay = d.cfg.Delay + time.Duration(d.random.Float64()*float64(d.cfg.Jitter))
	if d.random.Float64() < d.cfg.LateShare {
		delay += d.cfg.LateBy
	}
	return delay, d.random.Float64() < d.cfg.Loss
}
