package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/accountant"
)

// messageKind says for whom an entry speaks.
type messageKind int

const (
	// kindGroup is a relay's news of its group, to other groups' relays.
	kindGroup messageKind = iota
	// kindMember is an entry's news of itself, to its own group's relays.
	kindMember
	// kindOthers is a relay's news of all entries but the receiver.
	kindOthers
	// kindUsage is what the processes of a group have begun, to the holder of
	// the duty.
	kindUsage
	// kindUpstreams is a relay's news of the list of upstreams, to its members.
	kindUpstreams
)

// peerMessage is what one entry tells another. Totals only grow while its process
// lives; everything else is as of now.
type peerMessage struct {
	ID       string                                  `cbor:"1,keyasint"`
	Boot     uint64                                  `cbor:"2,keyasint"`
	Address  string                                  `cbor:"3,keyasint"`
	Stopping bool                                    `cbor:"4,keyasint,omitempty"`
	Totals   map[string]float64                      `cbor:"5,keyasint,omitempty"`
	Usage    map[accountant.Window]accountant.Counts `cbor:"6,keyasint,omitempty"`
	// Load is what upstreams are loaded with, in loadUnits, by upstreamKey.
	Load   map[uint32]uint32 `cbor:"7,keyasint,omitempty"`
	Demand map[string]demand `cbor:"8,keyasint,omitempty"`
	// Leader is the entry that holds the duty, as far as the sender knows.
	Leader string `cbor:"9,keyasint,omitempty"`
	Domain string `cbor:"10,keyasint,omitempty"`
	// ClockMS is the time of day in Unix milliseconds: the entry's own, or what
	// most of those that it speaks for agree on.
	ClockMS int64       `cbor:"11,keyasint"`
	Kind    messageKind `cbor:"12,keyasint,omitempty"`
	Group   string      `cbor:"13,keyasint,omitempty"`
	// Entries is the number of entries that it speaks for.
	Entries int `cbor:"14,keyasint,omitempty"`
	// Domains are the failure domains of those entries.
	Domains      []string               `cbor:"15,keyasint,omitempty"`
	Capacity     float64                `cbor:"16,keyasint,omitempty"`
	UsageRecords map[string]usageRecord `cbor:"17,keyasint,omitempty"`
	// ListChanges are the newest changes of the list of upstreams, LastRow is the number
	// of the last of them since the sender's process began. ListAgeMS is how long
	// ago the sender read the list, ListVersion the version of the store as of
	// which it knows it.
	ListChanges []listRow `cbor:"18,keyasint,omitempty"`
	LastChange  uint64    `cbor:"21,keyasint,omitempty"`
	ListAgeMS   int64     `cbor:"19,keyasint,omitempty"`
	ListVersion uint64    `cbor:"22,keyasint,omitempty"`
	// Moves are by deployment.
	Moves map[string]moveUpdate `cbor:"20,keyasint,omitempty"`
}

// listRow is a row of the list of upstreams as it was read from the store.
type listRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// usageRecord is what a process has begun, as it told some time ago.
type usageRecord struct {
	ID    string                                  `cbor:"1,keyasint"`
	AgeMS int64                                   `cbor:"2,keyasint"`
	Usage map[accountant.Window]accountant.Counts `cbor:"3,keyasint"`
}

func (r usageRecord) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// loadUnit is the part of a request in which load is told.
const loadUnit = 0.25

// upstreamKey names an upstream in messages. Two upstreams with one key share
// what others tell of their load, which does no harm beyond a worse choice.
func upstreamKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// toLoadUnits returns a load in loadUnits.
func toLoadUnits(load float64) uint32 { return uint32(max(0, load)/loadUnit + 0.5) }
