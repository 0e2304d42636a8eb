package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// outcomePrefix begins the counters of outcomes by version.
const outcomePrefix = "v/"

// The parts of the counters of outcomes.
const (
	countAll    = "a"
	countFailed = "f"
	countSlow   = "s"
	sideNext    = "n"
	sidePresent = "p"
)

// move is the move of a deployment to another version, as this entry sees it.
type move struct {
	order MoveOrder
	// epoch is the version of the order's row: a later order has a larger one.
	epoch  uint64
	since  time.Time
	state  charter.State
	reason string
	// unread says that the order may have ended before this process began.
	unread bool
	// reported is the state that the store has been told.
	reported charter.State

	watches mover.Comparisons
	fed     map[string]versions
	seen    int
}

// versions are the outcomes of both versions on one route.
type versions struct{ present, next mover.Counts }

// moveWord is what entries tell each other of a move.
type moveWord struct {
	To       string        `cbor:"1,keyasint"`
	WithinMS int64         `cbor:"2,keyasint"`
	Epoch    uint64        `cbor:"3,keyasint"`
	PassedMS int64         `cbor:"4,keyasint"`
	State    charter.State `cbor:"5,keyasint"`
	Reason   string        `cbor:"6,keyasint,omitempty"`
}

// orderMove takes an operator's order. First says that the row was there when
// this process began.
func (b *state) orderMove(now time.Time, order MoveOrder, epoch uint64, first bool) {
	if m, ok := b.moves[order.Deployment]; ok && m.epoch >= epoch {
		return
	}
	b.moves[order.Deployment] = &move{order: order, epoch: epoch, since: now, state: mover.Moving, unread: first, fed: map[string]versions{}}
	b.log.Info().Str("event", "move_ordered").Str("deployment", order.Deployment).Str("to", order.To).
		Dur("within", order.FinishWithin).Uint64("epoch", epoch).Bool("first_read", first).Send()
}

// moveWords are what this entry tells of moves.
func (b *state) moveWords(now time.Time) map[string]moveWord {
	words := make(map[string]moveWord, len(b.moves))
	for name, m := range b.moves {
		if m.unread {
			continue
		}
		words[name] = moveWord{
			To: m.order.To, WithinMS: m.order.FinishWithin.Milliseconds(), Epoch: m.epoch, PassedMS: now.Sub(m.since).Milliseconds(),
			State: m.state, Reason: m.reason,
		}
	}
	return words
}

// hearMoves merges what another entry tells of moves.
func (b *state) hearMoves(now time.Time, words map[string]moveWord) {
	for name, word := range words {
		order := MoveOrder{Deployment: name, To: word.To, FinishWithin: time.Duration(word.WithinMS) * time.Millisecond}
		b.orderMove(now, order, word.Epoch, false)
		m := b.moves[name]
		if m.epoch != word.Epoch {
			continue
		}
		m.unread = false
		if since := now.Add(-time.Duration(word.PassedMS) * time.Millisecond); since.Before(m.since) {
			m.since = since
		}
		merged := mover.Merge(mover.Move{Epoch: m.epoch, State: m.state, Reason: m.reason}, mover.Move{Epoch: m.epoch, State: word.State, Reason: word.Reason})
		b.enterState(m, merged.State, merged.Reason)
	}
}

// enterState records that a move has got on. What has ended stays so.
func (b *state) enterState(m *move, state charter.State, reason string) {
	if m.state == state {
		return
	}
	m.state, m.reason = state, reason
	b.log.Info().Str("event", "move_"+string(state)).Str("deployment", m.order.Deployment).Str("to", m.order.To).
		Uint64("epoch", m.epoch).Int("outcomes", m.seen).Str("reason", reason).Send()
	prefix := outcomeKey(m, "", "", "")
	for _, totals := range append([]aggregator.Totals{b.ownOutcomes, b.groupTotals, b.otherGroupTotals}, b.passedTotals()...) {
		for name := range totals {
			if strings.HasPrefix(name, prefix) {
				delete(totals, name)
			}
		}
	}
}

func (b *state) passedTotals() []aggregator.Totals {
	list := make([]aggregator.Totals, 0, len(b.memberTotals))
	for _, totals := range b.memberTotals {
		list = append(list, totals)
	}
	return list
}

// outcomeKey names a counter of a move. With an empty route it is the beginning
// of all of them.
func outcomeKey(m *move, route, side, count string) string {
	key := outcomePrefix + strconv.FormatUint(m.epoch, 36) + "/"
	if route == "" {
		return key
	}
	return key + route + "/" + side + count
}

// schedule is how a move goes at the present rate of requests.
func (b *state) schedule(now time.Time, m *move) mover.Schedule {
	limits := b.cfg.Moves
	rate := b.totalDemand(now, m.order.Deployment).RequestRate
	return mover.Schedule{Duration: m.order.FinishWithin, MaxExposure: mover.MaxExposure(limits.ExposureShare, limits.ExposureAllowance, rate, m.order.FinishWithin)}
}

// moveShare is the part of a deployment's requests that go to the new version.
func (b *state) moveShare(now time.Time, m *move) float64 {
	switch {
	case m.state == mover.Done:
		return 1
	case m.state == mover.RolledBack || m.unread:
		return 0
	default:
		return b.schedule(now, m).Share(now.Sub(m.since), mover.Trusted(m.seen, &m.watches))
	}
}

// steer narrows the choice of an upstream to one version, where a move asks for
// that. The lock must be held.
func (b *state) steer(now time.Time, c *call, ask *router.Request) {
	m, ok := b.moves[c.deployment]
	if !ok {
		return
	}
	next := b.router.EligibleCount(now, router.Request{Deployment: c.deployment, Version: m.order.To})
	others := b.router.EligibleCount(now, router.Request{Deployment: c.deployment, AvoidVersion: m.order.To})
	switch {
	case m.state == mover.RolledBack:
		ask.AvoidVersion = m.order.To
	case next == 0 || others == 0:
		// There is but one version to choose from.
	case m.state == mover.Done:
		ask.Version = m.order.To
	case c.sends > 0:
		ask.AvoidVersion = m.order.To
	default:
		share := b.moveShare(now, m)
		if !mover.Selected(c.request.ID, mover.Move{ID: strconv.FormatUint(m.epoch, 36)}, share) {
			ask.AvoidVersion = m.order.To
			return
		}
		ask.Version, ask.PrefixHash = m.order.To, 0
		ask.Exclude = append(slices.Clone(ask.Exclude), b.unpacked(now, m, share)...)
	}
}

// unpacked are the upstreams of the new version that get none of its share yet.
func (b *state) unpacked(now time.Time, m *move, share float64) []string {
	open := b.router.Eligible(now, router.Request{Deployment: m.order.Deployment, Version: m.order.To})
	slices.SortFunc(open, func(a, b router.Upstream) int {
		if xxhash.Sum64String(a.ID) < xxhash.Sum64String(b.ID) {
			return -1
		}
		return 1
	})
	var left []string
	for _, u := range open[mover.UpstreamsForShare(share, len(open)):] {
		left = append(left, u.ID)
	}
	return left
}

// outcome counts what became of an attempt on an upstream. Took is the time to
// its first event or its answer, zero if there was none. The lock must be held.
func (b *state) outcome(c *call, u Upstream, failed bool, took time.Duration) {
	m, moving := b.moves[c.deployment]
	next := moving && u.Version == m.order.To
	mark, ok := b.latencyThresholds[c.route.Name]
	if !ok {
		mark = &mover.LatencyThreshold{}
		b.latencyThresholds[c.route.Name] = mark
	}
	slow := took > 0 && took > mark.Threshold(mover.MinLatencyThreshold(c.route.TargetLatency, false))
	if took > 0 && !next {
		mark.Observe(took)
	}
	if !moving || m.state != mover.Moving {
		return
	}
	side := sidePresent
	if next {
		side = sideNext
	}
	b.ownOutcomes[outcomeKey(m, c.route.Name, side, countAll)]++
	if failed {
		b.ownOutcomes[outcomeKey(m, c.route.Name, side, countFailed)]++
	}
	if slow {
		b.ownOutcomes[outcomeKey(m, c.route.Name, side, countSlow)]++
	}
}

// judgeMoves compares the versions by what all entries have seen, and takes back
// what is bad.
func (b *state) judgeMoves() {
	for _, m := range b.moves {
		if m.state != mover.Moving {
			continue
		}
		for route, total := range b.outcomesOf(m) {
			was := m.fed[route]
			next := total.next.Sub(was.next)
			m.watches.Observe(route, total.present.Sub(was.present), next)
			m.seen += next.Outcomes
			m.fed[route] = total
		}
		if reason := m.watches.RollBackReason(); reason != "" {
			b.enterState(m, mover.RolledBack, reason)
		}
	}
}

// outcomesOf adds up what all entries have seen of a move, by route.
func (b *state) outcomesOf(m *move) map[string]versions {
	prefix := outcomeKey(m, "", "", "")
	sums := aggregator.Totals{}
	for _, totals := range []aggregator.Totals{b.ownOutcomes, b.groupTotals, b.otherGroupTotals} {
		for name, total := range totals {
			if rest, ok := strings.CutPrefix(name, prefix); ok {
				sums[rest] += total
			}
		}
	}
	byRoute := map[string]versions{}
	for name, total := range sums {
		at := strings.LastIndexByte(name, '/')
		if at < 0 || len(name)-at != len(sideNext)+len(countAll)+1 {
			continue
		}
		v := byRoute[name[:at]]
		side := &v.present
		if name[at+1:at+2] == sideNext {
			side = &v.next
		}
		switch name[at+2:] {
		case countAll:
			side.Outcomes = int(total)
		case countFailed:
			side.Failed = int(total)
		case countSlow:
			side.Slow = int(total)
		}
		byRoute[name[:at]] = v
	}
	return byRoute
}

// moveKeeper reads and writes what the store holds of moves.
type moveKeeper struct {
	g *Gateway
	// versions are those of the status rows, by deployment.
	versions map[string]uint64
}

// catchUp reads how moves ended that were ordered before this process began.
func (k *moveKeeper) catchUp(ctx context.Context) {
	b := k.g.state
	b.mu.Lock()
	unread := false
	for _, m := range b.moves {
		unread = unread || m.unread
	}
	// A relay that has read it tells its members.
	unread = unread && (b.plan.IsRelay || b.received[othersGroup].at.IsZero())
	b.mu.Unlock()
	if unread {
		k.read(ctx)
	}
}

// read takes the states of moves from the store.
func (k *moveKeeper) read(ctx context.Context) bool {
	page, err := k.g.cfg.Store.Read(ctx, k.g.cfg.Tables.MoveStatus)
	if err != nil {
		k.g.cfg.Log.Warn().Str("event", "move_status_not_read").Err(err).Send()
		return false
	}
	b := k.g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.moves {
		m.unread = false
	}
	for _, row := range page.Rows {
		status, ok, err := k.g.cfg.Decoder.MoveStatus(row.Key, row.Value)
		if err != nil {
			k.g.cfg.Log.Warn().Str("event", "move_status_invalid").Str("row", row.Key).Uint64("row_version", row.Version).Err(err).Send()
		}
		if !ok || err != nil {
			continue
		}
		k.versions[status.Deployment] = row.Version
		m, known := b.moves[status.Deployment]
		if !known || row.Version < m.epoch || status.To != m.order.To {
			continue
		}
		m.reported = status.State
		if status.State != mover.Moving {
			b.enterState(m, status.State, "the store says so")
		}
	}
	return true
}

// work brings moves on and reports them; only the holder of the duty does so.
func (k *moveKeeper) work(ctx context.Context) {
	b := k.g.state
	now := k.g.cfg.Now()
	b.mu.Lock()
	due := map[string]charter.State{}
	for name, m := range b.moves {
		passed, trusted := now.Sub(m.since), mover.Trusted(m.seen, &m.watches)
		s := b.schedule(now, m)
		switch {
		case m.unread || m.state != mover.Moving:
		case s.Settled(passed, trusted):
			due[name] = mover.Done
			continue
		case s.Expired(passed):
			b.enterState(m, mover.RolledBack, "it could not be told good in time")
		}
		if !m.unread && m.reported != m.state {
			due[name] = m.state
		}
	}
	b.mu.Unlock()
	for name, state := range due {
		if k.report(ctx, name, state) {
			continue
		}
		if !k.read(ctx) {
			return
		}
	}
}

// report writes the state of a move. It returns false if that has to be read and
// tried again.
func (k *moveKeeper) report(ctx context.Context, deployment string, state charter.State) bool {
	b := k.g.state
	b.mu.Lock()
	m := b.moves[deployment]
	// Another entry may have taken the move back meanwhile.
	open := m.state == mover.Moving || m.state == state
	to := m.order.To
	b.mu.Unlock()
	if _, _, may := k.g.leader.fencingToken(); !may || !open {
		return true
	}
	row, err := k.g.cfg.Encoder.MoveStatus(MoveStatus{Deployment: deployment, To: to, State: state})
	if err != nil {
		k.g.cfg.Log.Error().Str("event", "move_status_not_encoded").Err(err).Send()
		return true
	}
	row.Table = k.g.cfg.Tables.MoveStatus
	expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: k.versions[deployment]}
	result, err := k.g.cfg.Store.Commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
	if err != nil || !result.Applied {
		k.g.cfg.Log.Warn().Str("event", "move_status_not_written").Str("deployment", deployment).Str("state", string(state)).
			Bool("refused", errorx.IsOfType(err, provider.Refused)).Err(err).Send()
		return false
	}
	k.versions[deployment] = result.Version
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moves[deployment] == m {
		m.reported = state
		b.enterState(m, state, "the new version is good")
	}
	k.g.cfg.Log.Info().Str("event", "move_reported").Str("deployment", deployment).Str("to", to).Str("state", string(state)).
		Uint64("row_version", result.Version).Send()
	return true
}
