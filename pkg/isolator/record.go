package isolator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its content, so that a repeated request has
// the same one.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(organisation, route string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(organisation + "\x00" + route + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

const fingerprintBase = 36

// String returns the text of the fingerprint in logs and keys.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), fingerprintBase) }

// ParseFingerprint parses the text of a fingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, fingerprintBase, 64)
	return Fingerprint(value), err
}

// Attempt is an attempt that was in flight on an upstream when it crashed.
type Attempt struct {
	Fingerprint Fingerprint
	// Parts are those parts of its prompt that other requests may share, in order.
	Parts []Part
	Start time.Time
	// End is when the attempt broke off.
	End time.Time
	// DeploymentSize is the number of upstreams that were listed. One that has crashed is
	// listed for some time.
	DeploymentSize int
}

// CrashRecord says that a request was in flight on an upstream that crashed or, if
// Completed is true, that it has completed. Times are ages, as the clocks of entries
// differ.
type CrashRecord struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Upstream    string      `cbor:"2,keyasint,omitempty"`
	// Ordinal counts the crashes of the upstream, from 0.
	Ordinal int `cbor:"3,keyasint,omitempty"`
	// AgeMS is the time since the crash or the completion, RanMS the duration of the
	// attempt that crashed, in milliseconds.
	AgeMS          int64 `cbor:"4,keyasint,omitempty"`
	RanMS          int64 `cbor:"5,keyasint,omitempty"`
	Completed      bool  `cbor:"6,keyasint,omitempty"`
	DeploymentSize int   `cbor:"7,keyasint,omitempty"`
	// Parts are those of Attempt that no later survival clears.
	Parts []Part `cbor:"8,keyasint,omitempty"`
	// Convicted means that the sender has confirmed the prompt part Fingerprint, which is
	// at Depth, AgeMS ago.
	Convicted bool `cbor:"9,keyasint,omitempty"`
	Depth     int  `cbor:"10,keyasint,omitempty"`
}

func (r CrashRecord) valid() bool { return r.Completed || r.Convicted || r.Upstream != "" }

// crash is a crash of an upstream during an attempt of a request.
type crash struct {
	crashName
	start, end     time.Time
	deploymentSize int
	// parts are those of the attempt, in the history of a request. requests are the
	// requests that had the part, in the history of a part.
	parts    []Part
	requests []Fingerprint
}

// crashName identifies a crash at all entries.
type crashName struct {
	upstream string
	ordinal  int
}

// startsAfter reports whether the attempt began after an earlier crash.
func (c crash) startsAfter(earlier crash) bool { return earlier.end.Sub(c.start) <= timePrecision }

func (c crash) record(now time.Time, f Fingerprint) CrashRecord {
	return CrashRecord{
		Fingerprint: f, Upstream: c.upstream, Ordinal: c.ordinal,
		AgeMS: now.Sub(c.end).Milliseconds(), RanMS: c.end.Sub(c.start).Milliseconds(), DeploymentSize: c.deploymentSize,
		Parts: c.parts,
	}
}

// history is what is known about one request, or about one part of prompts.
type history struct {
	// depth is the position of a part in its prompts, from 1, and 0 for a request.
	depth int
	// onTrial means that the quarantine of a part has ended without a completion, at trialAt.
	onTrial bool
	trialAt time.Time
	// lastCrashAt is the newest crash of a part, and sightings the number of crashes, also of
	// those that a survival has cleared.
	lastCrashAt time.Time
	sightings   int
	// crashes are ordered by their ends, at most maxCrashes.
	crashes     []crash
	completedAt time.Time
	// quarantinedAt and quarantinedUntil are the beginning and the end of a quarantine set
	// by Quarantine.
	quarantinedAt, quarantinedUntil time.Time
	// status is the result of the last evaluation, which was made at evaluatedAt with
	// the records of that revision. successive, otherCrashes and coincidence are those
	// of Evidence.
	status                   Status
	evaluatedAt              time.Time
	revision                 uint64
	successive, otherCrashes int
	coincidence              float64
}

// newest returns the time of the newest crash or completion.
func (h *history) newest() time.Time {
	newest := h.completedAt
	if n := len(h.crashes); n > 0 && h.crashes[n-1].end.After(newest) {
		newest = h.crashes[n-1].end
	}
	return newest
}

// has reports whether the request was in flight at a crash.
func (h *history) has(name crashName) bool {
	for _, c := range h.crashes {
		if c.crashName == name {
			return true
		}
	}
	return false
}

// insert adds a crash and keeps the newest maxCrashes.
func (h *history) insert(c crash) {
	at, _ := slices.BinarySearchFunc(h.crashes, c, func(a, b crash) int { return a.end.Compare(b.end) })
	h.crashes = slices.Insert(h.crashes, at, c)
	if len(h.crashes) > maxCrashes {
		h.crashes = slices.Delete(h.crashes, 0, 1)
	}
}

// chain returns the longest series of crashes of which each attempt began after the
// crash before it.
func (h *history) chain() []crash {
	var chain []crash
	for _, c := range h.crashes {
		if len(chain) == 0 || c.startsAfter(chain[len(chain)-1]) {
			chain = append(chain, c)
		}
	}
	return chain
}
