package isolator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// alonePoint is the number of deaths after which a request that alone was
	// in all of them is convicted.
	alonePoint = 2
	// certainPoint is the number of deaths after which a request is convicted
	// at once, unless another request was in all of them too. It bounds what one
	// request can cost.
	certainPoint = 4
	// settleTime is how long the implications of other entries may take to
	// arrive; no request is convicted for being alone before it has passed.
	settleTime = 3 * time.Second
	// memory is how long an implication counts.
	memory = time.Hour
	// maxFingerprints bounds the state.
	maxFingerprints = 4096
)

// Fingerprint identifies a request by what it asks, whoever sends it again.
type Fingerprint uint64

// Sum returns the fingerprint of a request.
func Sum(organisation, route string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(organisation + "\x00" + route + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Standing is what is held against a request.
type Standing int

// The standings.
const (
	Clear Standing = iota
	// Suspect: it runs with no other suspect on its upstream.
	Suspect
	// Pending: it waits until it is known who else was there.
	Pending
	Convicted
)

// Implication says that a request was in flight on an upstream that died.
type Implication struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
}

// Isolator holds the implications of the last hour. The zero value is useful.
type Isolator struct {
	deaths map[Fingerprint]map[string]time.Time
}

// Implicate records the death of an upstream and returns what was news.
func (i *Isolator) Implicate(now time.Time, upstream string, inFlight []Fingerprint) []Implication {
	var news []Implication
	for _, f := range inFlight {
		implication := Implication{Fingerprint: f, Upstream: upstream}
		if i.Merge(now, implication) {
			news = append(news, implication)
		}
	}
	return news
}

// Merge takes an implication from a peer and reports whether it was news.
func (i *Isolator) Merge(now time.Time, implication Implication) bool {
	if i.deaths == nil {
		i.deaths = map[Fingerprint]map[string]time.Time{}
	}
	upstreams, ok := i.deaths[implication.Fingerprint]
	if !ok {
		if len(i.deaths) >= maxFingerprints {
			i.forget(now)
		}
		upstreams = map[string]time.Time{}
		i.deaths[implication.Fingerprint] = upstreams
	}
	if _, known := upstreams[implication.Upstream]; known {
		return false
	}
	upstreams[implication.Upstream] = now
	return true
}

// keptShare is the share of the fingerprints that forget keeps, so that it runs
// rarely however fast new ones come.
const keptShare = 0.75

// forget drops what is too old, and then the oldest beyond the kept share.
func (i *Isolator) forget(now time.Time) {
	type dated struct {
		f  Fingerprint
		at time.Time
	}
	var kept []dated
	for f := range i.deaths {
		newest := i.newest(f)
		if now.Sub(newest) > memory {
			delete(i.deaths, f)
			continue
		}
		kept = append(kept, dated{f, newest})
	}
	slices.SortFunc(kept, func(a, b dated) int { return a.at.Compare(b.at) })
	excess := len(kept) - int(keptShare*maxFingerprints)
	for _, d := range kept[:max(0, excess)] {
		delete(i.deaths, d.f)
	}
}

// Standing returns what is held against a request at now.
func (i *Isolator) Standing(now time.Time, f Fingerprint) Standing {
	upstreams := i.live(now, f)
	switch {
	case len(upstreams) == 0:
		return Clear
	case len(upstreams) >= certainPoint && i.alone(now, f):
		return Convicted
	case len(upstreams) < alonePoint:
		return Suspect
	case now.Sub(i.newest(f)) < settleTime:
		return Pending
	case i.alone(now, f):
		return Convicted
	default:
		return Suspect
	}
}

// newest returns the time of the last implication of a request.
func (i *Isolator) newest(f Fingerprint) time.Time {
	newest := time.Time{}
	for _, at := range i.deaths[f] {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

func (i *Isolator) live(now time.Time, f Fingerprint) []string {
	var upstreams []string
	for upstream, at := range i.deaths[f] {
		if now.Sub(at) <= memory {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// Alike reports whether another request was in flight at every death of f, so
// that one more death of both would not tell them apart.
func (i *Isolator) Alike(now time.Time, f, other Fingerprint) bool {
	shared := i.live(now, other)
	return !slices.ContainsFunc(i.live(now, f), func(u string) bool { return !slices.Contains(shared, u) })
}

// alone reports whether no other request was in flight at all those deaths.
func (i *Isolator) alone(now time.Time, f Fingerprint) bool {
	for other := range i.deaths {
		if other != f && i.Alike(now, f, other) {
			return false
		}
	}
	return true
}

// Newest returns the latest implications that count at now, at most n of them.
func (i *Isolator) Newest(now time.Time, n int) []Implication {
	type dated struct {
		Implication
		at time.Time
	}
	var all []dated
	for f, upstreams := range i.deaths {
		for upstream, at := range upstreams {
			if now.Sub(at) <= memory {
				all = append(all, dated{Implication{Fingerprint: f, Upstream: upstream}, at})
			}
		}
	}
	slices.SortFunc(all, func(a, b dated) int { return b.at.Compare(a.at) })
	newest := make([]Implication, 0, min(n, len(all)))
	for _, d := range all[:min(n, len(all))] {
		newest = append(newest, d.Implication)
	}
	return newest
}
