package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/accountant"
	"github.com/galenahitch/galenahitch/pkg/isolator"
)

// messageKind is the kind of a message's contents.
type messageKind int

const (
	// kindGroup is a relay's message about its group, to the relays of other
	// groups.
	kindGroup messageKind = iota
	// kindMember is an entry's message about itself, to the relays of its
	// group.
	kindMember
	// kindOthers is a relay's message to a member about all entries except that
	// member.
	kindOthers
	// kindUsage carries a group's usage records from its relay to the leader.
	kindUsage
	// kindUpstreams carries changes of the list of upstreams from a relay to
	// its members.
	kindUpstreams
)

// peerMessage is a message from one entry to another. Totals only grow during the run
// of the sender's process; all other fields are current values.
type peerMessage struct {
	ID       string                                  `cbor:"1,keyasint"`
	Boot     uint64                                  `cbor:"2,keyasint"`
	Address  string                                  `cbor:"3,keyasint"`
	Stopping bool                                    `cbor:"4,keyasint,omitempty"`
	Totals   map[string]float64                      `cbor:"5,keyasint,omitempty"`
	Usage    map[accountant.Window]accountant.Counts `cbor:"6,keyasint,omitempty"`
	// Load is the load of upstreams, in loadUnits, by upstreamKey.
	Load   map[uint32]uint32 `cbor:"7,keyasint,omitempty"`
	Demand map[string]demand `cbor:"8,keyasint,omitempty"`
	// Leader is the ID of the leader, empty if the sender has received none.
	Leader string `cbor:"9,keyasint,omitempty"`
	Domain string `cbor:"10,keyasint,omitempty"`
	// ClockMS is the time of day in Unix milliseconds: the sender's clock, or
	// the median clock if the message describes several entries.
	ClockMS int64       `cbor:"11,keyasint"`
	Kind    messageKind `cbor:"12,keyasint,omitempty"`
	Group   string      `cbor:"13,keyasint,omitempty"`
	// Entries is the number of entries that the message describes.
	Entries int `cbor:"14,keyasint,omitempty"`
	// Domains are the failure domains of those entries.
	Domains  []string `cbor:"15,keyasint,omitempty"`
	Capacity float64  `cbor:"16,keyasint,omitempty"`
	// UsageRecords are keyed by processName.
	UsageRecords map[string]usageRecord `cbor:"17,keyasint,omitempty"`
	// ListChanges are the latest changes of the list of upstreams. LastChange is the
	// number of the last one, counted from the start of the sender's process. None of
	// the changes up to it is newer than the store version ListVersion.
	ListChanges []listRow        `cbor:"18,keyasint,omitempty"`
	LastChange  uint64           `cbor:"21,keyasint,omitempty"`
	ListVersion provider.Version `cbor:"22,keyasint,omitempty"`
	// ListAgeMS is at least the time since the store confirmed to the sender that its
	// list has all changes up to the version ListComplete, and that there were no others.
	// ListSnapshot is the version at which the sender last read the whole list: changes
	// before that may have no number. All three are zero if it has never read it.
	ListAgeMS    int64            `cbor:"19,keyasint,omitempty"`
	ListComplete provider.Version `cbor:"26,keyasint,omitempty"`
	ListSnapshot provider.Version `cbor:"27,keyasint,omitempty"`
	// Moves are keyed by deployment.
	Moves map[string]moveUpdate `cbor:"20,keyasint,omitempty"`
	// CrashRecords are new crash records of this entry and of others.
	CrashRecords []isolator.CrashRecord `cbor:"23,keyasint,omitempty"`
	// Survivals are the latest ones that the sender knows of, of parts of prompts to which
	// crashes are attributed.
	Survivals []isolator.Survival `cbor:"30,keyasint,omitempty"`
	// Tables says how up to date the sender's copies of tables are.
	Tables map[sharedTable]tableStatus `cbor:"24,keyasint,omitempty"`
	// Renewal is the last renewal of the leader's lease that the sender knows of.
	Renewal *leaseRenewal `cbor:"25,keyasint,omitempty"`
	// StampMS is the time of the sender's steady clock, in milliseconds, in messages about
	// itself to its relays. Echo repeats the last stamp of the receiver.
	StampMS int64 `cbor:"28,keyasint,omitempty"`
	Echo    *echo `cbor:"29,keyasint,omitempty"`
}

// echo repeats the stamp of a process, which the sender received HeldMS ago.
type echo struct {
	_       struct{} `cbor:",toarray"`
	Boot    uint64
	StampMS int64
	HeldMS  int64
}

// sentAfter returns a time of this process's steady clock before which the message was not
// sent, however long it was on its way or waited here. It returns false if the sender has
// received no stamp of this process, or one that has not come. now is a time of that clock.
func (e *echo) sentAfter(now time.Time, boot uint64) (time.Time, bool) {
	if e == nil || e.Boot != boot {
		return time.Time{}, false
	}
	at := time.UnixMilli(e.StampMS + e.HeldMS)
	return at, !at.After(now)
}

// leaseRenewal is a leaser.Renewal in a message. The renewal is at least AgeMS old.
type leaseRenewal struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	AgeMS   int64
}

// listRow is a row of the list of upstreams as read from the store.
type listRow struct {
	Key     string           `cbor:"1,keyasint"`
	Value   []byte           `cbor:"2,keyasint,omitempty"`
	Version provider.Version `cbor:"3,keyasint"`
	Deleted bool             `cbor:"4,keyasint,omitempty"`
}

// usageRecord is the usage of one process and the age of these counts.
type usageRecord struct {
	ID    string                                  `cbor:"1,keyasint"`
	AgeMS int64                                   `cbor:"2,keyasint"`
	Usage map[accountant.Window]accountant.Counts `cbor:"3,keyasint"`
}

func (r usageRecord) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// loadUnit is the unit in which messages give load, in requests.
const loadUnit = 0.25

// upstreamKey identifies an upstream in messages. Two upstreams with the same
// key share their remote load, which only makes the choice of an upstream
// slightly worse.
func upstreamKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// toLoadUnits converts a load to loadUnits.
func toLoadUnits(load float64) uint32 { return uint32(max(0, load)/loadUnit + 0.5) }
