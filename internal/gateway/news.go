package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/accountant"
)

// voice says for whom an entry speaks.
type voice int

const (
	// forGroup is a relay's news of its group, to other groups' relays.
	forGroup voice = iota
	// forItself is an entry's news of itself, to its own group's relays.
	forItself
	// forOthers is a relay's news of all entries but the receiver.
	forOthers
	// forLedger is what the processes of a group have begun, to the holder of
	// the duty.
	forLedger
	// forList is a relay's news of the list of upstreams, to its members.
	forList
)

// news is what one entry tells another. Totals only grow while its process
// lives; everything else is as of now.
type news struct {
	ID       string                                  `cbor:"1,keyasint"`
	Boot     uint64                                  `cbor:"2,keyasint"`
	Address  string                                  `cbor:"3,keyasint"`
	Stopping bool                                    `cbor:"4,keyasint,omitempty"`
	Totals   map[string]float64                      `cbor:"5,keyasint,omitempty"`
	Usage    map[accountant.Window]accountant.Counts `cbor:"6,keyasint,omitempty"`
	// Load is what upstreams are loaded with, in loadUnits, by upstreamKey.
	Load   map[uint32]uint32 `cbor:"7,keyasint,omitempty"`
	Demand map[string]demand `cbor:"8,keyasint,omitempty"`
	// Holder is the entry that holds the duty, as far as the sender knows.
	Holder string `cbor:"9,keyasint,omitempty"`
	Domain string `cbor:"10,keyasint,omitempty"`
	// ClockMS is the time of day in Unix milliseconds: the entry's own, or what
	// most of those that it speaks for agree on.
	ClockMS int64  `cbor:"11,keyasint"`
	Voice   voice  `cbor:"12,keyasint,omitempty"`
	Group   string `cbor:"13,keyasint,omitempty"`
	// Entries is the number of entries that it speaks for.
	Entries int `cbor:"14,keyasint,omitempty"`
	// Domains are the failure domains of those entries.
	Domains  []string          `cbor:"15,keyasint,omitempty"`
	Capacity float64           `cbor:"16,keyasint,omitempty"`
	Ledger   map[string]record `cbor:"17,keyasint,omitempty"`
	// Rows are the newest changes of the list of upstreams, LastRow is the number
	// of the last of them since the sender's process began. ListAgeMS is how long
	// ago the sender read the list, ListVersion the version of the store as of
	// which it knows it.
	Rows        []listRow `cbor:"18,keyasint,omitempty"`
	LastRow     uint64    `cbor:"21,keyasint,omitempty"`
	ListAgeMS   int64     `cbor:"19,keyasint,omitempty"`
	ListVersion uint64    `cbor:"22,keyasint,omitempty"`
	// Moves are by deployment.
	Moves map[string]moveWord `cbor:"20,keyasint,omitempty"`
}

// listRow is a row of the list of upstreams as it was read from the store.
type listRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// record is what a process has begun, as it told some time ago.
type record struct {
	ID    string                                  `cbor:"1,keyasint"`
	AgeMS int64                                   `cbor:"2,keyasint"`
	Usage map[accountant.Window]accountant.Counts `cbor:"3,keyasint"`
}

func (r record) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// loadUnit is the part of a request in which load is told.
const loadUnit = 0.25

// upstreamKey names an upstream in messages. Two upstreams with one key share
// what others tell of their load, which does no harm beyond a worse choice.
func upstreamKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// units returns a load in loadUnits.
func units(load float64) uint32 { return uint32(max(0, load)/loadUnit + 0.5) }
