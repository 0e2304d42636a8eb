package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

// copyTries bounds the entries that are asked for one copy of a table, each for an equal share
// of the time: one of them may be unreachable, another one may lack the change too.
const copyTries = 3

// TableReader reads copies of tables from other entries.
type TableReader interface {
	// ReadTable returns the copy of the entry that has an address for messages. An error of
	// type provider.Refused means that its copy is not newer than a version.
	ReadTable(ctx context.Context, address, table string, newerThan provider.Version) (follower.Copy, error)
}

// tablePeers reads copies of tables from the entries that this one knows.
type tablePeers struct{ g *Gateway }

// ReadTable asks entries one after the other, in random order so that none is asked by all.
func (t tablePeers) ReadTable(ctx context.Context, table string, newerThan provider.Version) (c follower.Copy, err error) {
	err = provider.Unreachable.New("no other entry is known")
	deadline, limited := ctx.Deadline()
	for i, p := range t.g.copySources(t.g.cfg.Now()) {
		tryCtx, cancel := ctx, context.CancelFunc(func() {})
		if limited {
			tryCtx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(copyTries-i))
		}
		c, err = t.g.cfg.TableReader.ReadTable(tryCtx, p.address, table, newerThan)
		cancel()
		if c.Peer = p.id; err == nil {
			return c, nil
		}
	}
	return c, err
}

// copySource is an entry that may be asked for a copy.
type copySource struct{ id, address string }

// copySources returns at most copyTries entries at random. At most one of them sends messages
// to this entry, if others do not: members hear the same few relays.
func (g *Gateway) copySources(now time.Time) []copySource {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	var heard, others []copySource
	for id, p := range st.peers {
		switch {
		case p.stopping || p.address == "":
		case st.sendsMessages(now, id):
			heard = append(heard, copySource{id, p.address})
		default:
			others = append(others, copySource{id, p.address})
		}
	}
	for _, list := range [][]copySource{heard, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	n := min(len(heard), max(1, copyTries-len(others)))
	return append(others[:min(len(others), copyTries-n)], heard[:n]...)
}

// copiedFollowers returns the followers of the tables that entries copy from each other.
func (g *Gateway) copiedFollowers() []*follower.Follower {
	return []*follower.Follower{g.configFollower, g.upstreamFollower, g.quarantineFollower}
}

// TableCopy returns this entry's copy of a table for another entry, and false if there is none
// that is newer than a version.
func (g *Gateway) TableCopy(table string, newerThan provider.Version) (follower.Copy, bool) {
	for _, f := range g.copiedFollowers() {
		if f.Table() != table {
			continue
		}
		c, read := f.Copy(g.cfg.LeaseNow())
		return c, read && c.Version > newerThan
	}
	return follower.Copy{}, false
}
