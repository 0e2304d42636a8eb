package prefixer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerPart is the memory of one part at one upstream in a map, with the map's free
	// room.
	bytesPerPart = 96
	// defaultMaxBytes is used if Config.MaxBytes is not set.
	defaultMaxBytes = 1 << 20
	// steepness is the exponent with which the probability falls around the point where as
	// many tokens were read as the memory holds. The number is an estimate, so the fall is
	// gradual.
	steepness = 4
	// defaultMemoryTokens is the memory of an upstream whose size is not known.
	defaultMemoryTokens = 200_000
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Config configures an Index. The zero value is valid.
type Config struct {
	// MaxBytes limits the memory of the index; 0 means 1 MiB.
	MaxBytes int
}

// key identifies the parts of a prompt up to one at an upstream.
type key struct{ upstream, parts uint64 }

// use is the last time that parts were sent to an upstream: the run of its process and the
// tokens that this entry had sent to it, and to all upstreams, by then.
type use struct {
	run       uint32
	read      float64
	totalRead float64
}

type upstream struct {
	hash uint64
	run  uint32
	read float64
}

// deployment is the state of the upstreams that share a kind of memory.
type deployment struct {
	memory    float64
	totalRead float64
	upstreams map[string]*upstream
}

// Index is what an entry knows of the parts that upstreams hold.
type Index struct {
	maxParts    int
	entries     int
	runs        uint32
	deployments map[string]*deployment
	// recent and older are two generations of uses. Parts that are not used for the time
	// in which one fills are dropped.
	recent, older map[key]use
}

// New returns an empty Index.
func New(cfg Config) *Index {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Index{maxParts: max(1, cfg.MaxBytes/bytesPerPart/2), entries: 1, deployments: map[string]*deployment{}, recent: map[key]use{}}
}

// SetEntries sets the number of entries that use the same upstreams, this one included.
func (x *Index) SetEntries(n int) { x.entries = max(1, n) }

// SetMemory sets the number of tokens that an upstream of a deployment holds.
func (x *Index) SetMemory(name string, tokens int) { x.deployment(name).memory = float64(tokens) }

func (x *Index) deployment(name string) *deployment {
	d, ok := x.deployments[name]
	if !ok {
		d = &deployment{upstreams: map[string]*upstream{}}
		x.deployments[name] = d
	}
	return d
}

// Len returns the number of parts in the index, counted once for each upstream.
func (x *Index) Len() int { return len(x.recent) + len(x.older) }

// Forget forgets an upstream.
func (x *Index) Forget(name, id string) {
	if d, ok := x.deployments[name]; ok {
		delete(d.upstreams, id)
	}
}

// RecordRestart records that an upstream has lost its memory.
func (x *Index) RecordRestart(name, id string) {
	if d, ok := x.deployments[name]; ok && d.upstreams[id] != nil {
		d.upstreams[id].run = x.newRun()
	}
}

// RecordSent records that a request with the parts was sent to an upstream, which reads
// what it does not hold.
func (x *Index) RecordSent(name, id string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	d := x.deployment(name)
	u, ok := d.upstreams[id]
	if !ok {
		u = &upstream{hash: xxhash.Sum64String(id), run: x.newRun()}
		d.upstreams[id] = u
	}
	read := max(0, float64(tokensOf(parts))-x.HeldTokens(name, id, parts))
	u.read += read
	d.totalRead += read
	chain := uint64(0)
	for _, part := range parts {
		chain = next(chain, part)
		x.set(key{u.hash, chain}, use{u.run, u.read, d.totalRead})
	}
}

// newRun returns a number that no other run of an upstream has.
func (x *Index) newRun() uint32 {
	x.runs++
	return x.runs
}

func (x *Index) set(k key, value use) {
	if _, ok := x.recent[k]; !ok && len(x.recent) >= x.maxParts {
		x.recent, x.older = map[key]use{}, x.recent
	}
	x.recent[k] = value
	delete(x.older, k)
}

func (x *Index) get(k key) (use, bool) {
	value, ok := x.recent[k]
	if !ok {
		value, ok = x.older[k]
	}
	return value, ok
}

// HeldTokens returns the expected number of tokens of a prompt's first parts that an
// upstream need not read. It is 0 for an unknown upstream.
func (x *Index) HeldTokens(name, id string, parts []Part) float64 {
	d, ok := x.deployments[name]
	if !ok {
		return 0
	}
	u, ok := d.upstreams[id]
	if !ok {
		return 0
	}
	held, probability, chain := 0.0, 1.0, uint64(0)
	for _, part := range parts {
		chain = next(chain, part)
		value, ok := x.get(key{u.hash, chain})
		if !ok || value.run != u.run {
			break
		}
		probability = min(probability, x.probability(d, u, value))
		held += probability * float64(part.Tokens)
	}
	return held
}

// probability returns the probability that parts are still held. Each other entry is assumed
// to send an upstream the mean of what this one sends to each.
func (x *Index) probability(d *deployment, u *upstream, last use) float64 {
	memory := d.memory
	if memory <= 0 {
		memory = defaultMemoryTokens
	}
	average := (d.totalRead - last.totalRead) / float64(max(1, len(d.upstreams)))
	since := u.read - last.read + average*float64(x.entries-1)
	return 1 / (1 + math.Pow(since/memory, steepness))
}

func tokensOf(parts []Part) int {
	total := 0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}

// next returns the hash of the parts up to one, from that of those before it.
func next(chain uint64, part Part) uint64 {
	return (chain^xxhash.Sum64String(part.ID))*0x9e3779b97f4a7c15 + 1
}
