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
	sideNew     = "n"
	sideCurrent = "p"
)

// move is the move of a deployment to another version, as this entry sees it.
type move struct {
	order MoveOrder
	// epoch is the version of the order's row: a later order has a larger one.
	epoch     uint64
	startedAt time.Time
	state     charter.State
	reason    string
	// statusUnread says that the order may have ended before this process began.
	statusUnread bool
	// writtenState is the state that the store has been told.
	writtenState charter.State

	comparisons    mover.Comparisons
	comparedCounts map[string]versionCounts
	newOutcomes    int
}

// versionCounts are the outcomes of both versionCounts on one route.
type versionCounts struct{ current, new mover.Counts }

// moveUpdate is what entries tell each other of a move.
type moveUpdate struct {
	To             string        `cbor:"1,keyasint"`
	FinishWithinMS int64         `cbor:"2,keyasint"`
	Epoch          uint64        `cbor:"3,keyasint"`
	ElapsedMS      int64         `cbor:"4,keyasint"`
	State          charter.State `cbor:"5,keyasint"`
	Reason         string        `cbor:"6,keyasint,omitempty"`
}

// startMove takes an operator's order. First says that the row was there when
// this process began.
func (b *state) startMove(now time.Time, order MoveOrder, epoch uint64, first bool) {
	if m, ok := b.moves[order.Deployment]; ok && m.epoch >= epoch {
		return
	}
	b.moves[order.Deployment] = &move{order: order, epoch: epoch, startedAt: now, state: mover.Moving, statusUnread: first, comparedCounts: map[string]versionCounts{}}
	b.log.Info().Str("event", "move_ordered").Str("deployment", order.Deployment).Str("to", order.To).
		Dur("within", order.FinishWithin).Uint64("epoch", epoch).Bool("first_read", first).Send()
}

// moveUpdates are what this entry tells of moves.
func (b *state) moveUpdates(now time.Time) map[string]moveUpdate {
	words := make(map[string]moveUpdate, len(b.moves))
	for name, m := range b.moves {
		if m.statusUnread {
			continue
		}
		words[name] = moveUpdate{
			To: m.order.To, FinishWithinMS: m.order.FinishWithin.Milliseconds(), Epoch: m.epoch, ElapsedMS: now.Sub(m.startedAt).Milliseconds(),
			State: m.state, Reason: m.reason,
		}
	}
	return words
}

// mergeMoves merges what another entry tells of moves.
func (b *state) mergeMoves(now time.Time, words map[string]moveUpdate) {
	for name, word := range words {
		order := MoveOrder{Deployment: name, To: word.To, FinishWithin: time.Duration(word.FinishWithinMS) * time.Millisecond}
		b.startMove(now, order, word.Epoch, false)
		m := b.moves[name]
		if m.epoch != word.Epoch {
			continue
		}
		m.statusUnread = false
		if since := now.Add(-time.Duration(word.ElapsedMS) * time.Millisecond); since.Before(m.startedAt) {
			m.startedAt = since
		}
		merged := mover.Merge(mover.Move{Epoch: m.epoch, State: m.state, Reason: m.reason}, mover.Move{Epoch: m.epoch, State: word.State, Reason: word.Reason})
		b.setMoveState(m, merged.State, merged.Reason)
	}
}

// setMoveState records that a move has got on. What has ended stays so.
func (b *state) setMoveState(m *move, state charter.State, reason string) {
	if m.state == state {
		return
	}
	m.state, m.reason = state, reason
	b.log.Info().Str("event", "move_"+string(state)).Str("deployment", m.order.Deployment).Str("to", m.order.To).
		Uint64("epoch", m.epoch).Int("outcomes", m.newOutcomes).Str("reason", reason).Send()
	prefix := outcomeKey(m, "", "", "")
	for _, totals := range append([]aggregator.Totals{b.ownOutcomes, b.groupTotals, b.otherGroupTotals}, b.allMemberTotals()...) {
		for name := range totals {
			if strings.HasPrefix(name, prefix) {
				delete(totals, name)
			}
		}
	}
}

func (b *state) allMemberTotals() []aggregator.Totals {
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

// moveSchedule is how a move goes at the present rate of requests.
func (b *state) moveSchedule(now time.Time, m *move) mover.Schedule {
	limits := b.cfg.Moves
	rate := b.totalDemand(now, m.order.Deployment).RequestRate
	return mover.Schedule{Duration: m.order.FinishWithin, MaxExposure: mover.MaxExposure(limits.ExposureShare, limits.ExposureAllowance, rate, m.order.FinishWithin)}
}

// newVersionShare is the part of a deployment's requests that go to the new version.
func (b *state) newVersionShare(now time.Time, m *move) float64 {
	switch {
	case m.state == mover.Done:
		return 1
	case m.state == mover.RolledBack || m.statusUnread:
		return 0
	default:
		return b.moveSchedule(now, m).Share(now.Sub(m.startedAt), mover.Trusted(m.newOutcomes, &m.comparisons))
	}
}

// restrictVersion narrows the choice of an upstream to one version, where a move asks for
// that. The lock must be held.
func (b *state) restrictVersion(now time.Time, c *call, ask *router.Request) {
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
		share := b.newVersionShare(now, m)
		if !mover.Selected(c.request.ID, mover.Move{ID: strconv.FormatUint(m.epoch, 36)}, share) {
			ask.AvoidVersion = m.order.To
			return
		}
		ask.Version, ask.PrefixHash = m.order.To, 0
		ask.Exclude = append(slices.Clone(ask.Exclude), b.unusedUpstreams(now, m, share)...)
	}
}

// unusedUpstreams are the upstreams of the new version that get none of its share yet.
func (b *state) unusedUpstreams(now time.Time, m *move, share float64) []string {
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

// recordOutcome counts what became of an attempt on an upstream. Took is the time to
// its first event or its answer, zero if there was none. The lock must be held.
func (b *state) recordOutcome(c *call, u Upstream, failed bool, took time.Duration) {
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
	side := sideCurrent
	if next {
		side = sideNew
	}
	b.ownOutcomes[outcomeKey(m, c.route.Name, side, countAll)]++
	if failed {
		b.ownOutcomes[outcomeKey(m, c.route.Name, side, countFailed)]++
	}
	if slow {
		b.ownOutcomes[outcomeKey(m, c.route.Name, side, countSlow)]++
	}
}

// compareVersions compares the versions by what all entries have seen, and takes back
// what is bad.
func (b *state) compareVersions() {
	for _, m := range b.moves {
		if m.state != mover.Moving {
			continue
		}
		for route, total := range b.outcomesByRoute(m) {
			was := m.comparedCounts[route]
			next := total.new.Sub(was.new)
			m.comparisons.Observe(route, total.current.Sub(was.current), next)
			m.newOutcomes += next.Outcomes
			m.comparedCounts[route] = total
		}
		if reason := m.comparisons.RollBackReason(); reason != "" {
			b.setMoveState(m, mover.RolledBack, reason)
		}
	}
}

// outcomesByRoute adds up what all entries have seen of a move, by route.
func (b *state) outcomesByRoute(m *move) map[string]versionCounts {
	prefix := outcomeKey(m, "", "", "")
	sums := aggregator.Totals{}
	for _, totals := range []aggregator.Totals{b.ownOutcomes, b.groupTotals, b.otherGroupTotals} {
		for name, total := range totals {
			if rest, ok := strings.CutPrefix(name, prefix); ok {
				sums[rest] += total
			}
		}
	}
	byRoute := map[string]versionCounts{}
	for name, total := range sums {
		at := strings.LastIndexByte(name, '/')
		if at < 0 || len(name)-at != len(sideNew)+len(countAll)+1 {
			continue
		}
		v := byRoute[name[:at]]
		side := &v.current
		if name[at+1:at+2] == sideNew {
			side = &v.new
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

// moveManager reads and writes what the store holds of moves.
type moveManager struct {
	g *Gateway
	// rowVersions are those of the status rows, by deployment.
	rowVersions map[string]uint64
}

// readOldMoves reads how moves ended that were ordered before this process began.
func (k *moveManager) readOldMoves(ctx context.Context) {
	b := k.g.state
	b.mu.Lock()
	unread := false
	for _, m := range b.moves {
		unread = unread || m.statusUnread
	}
	// A relay that has read it tells its members.
	unread = unread && (b.plan.IsRelay || b.received[othersGroup].at.IsZero())
	b.mu.Unlock()
	if unread {
		k.readStatuses(ctx)
	}
}

// readStatuses takes the states of moves from the store.
func (k *moveManager) readStatuses(ctx context.Context) bool {
	page, err := k.g.cfg.Store.Read(ctx, k.g.cfg.Tables.MoveStatus)
	if err != nil {
		k.g.cfg.Log.Warn().Str("event", "move_status_not_read").Err(err).Send()
		return false
	}
	b := k.g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.moves {
		m.statusUnread = false
	}
	for _, row := range page.Rows {
		status, ok, err := k.g.cfg.Decoder.MoveStatus(row.Key, row.Value)
		if err != nil {
			k.g.cfg.Log.Warn().Str("event", "move_status_invalid").Str("row", row.Key).Uint64("row_version", row.Version).Err(err).Send()
		}
		if !ok || err != nil {
			continue
		}
		k.rowVersions[status.Deployment] = row.Version
		m, known := b.moves[status.Deployment]
		if !known || row.Version < m.epoch || status.To != m.order.To {
			continue
		}
		m.writtenState = status.State
		if status.State != mover.Moving {
			b.setMoveState(m, status.State, "the store says so")
		}
	}
	return true
}

// advance brings moves on and reports them; only the holder of the duty does so.
func (k *moveManager) advance(ctx context.Context) {
	b := k.g.state
	now := k.g.cfg.Now()
	b.mu.Lock()
	due := map[string]charter.State{}
	for name, m := range b.moves {
		passed, trusted := now.Sub(m.startedAt), mover.Trusted(m.newOutcomes, &m.comparisons)
		s := b.moveSchedule(now, m)
		switch {
		case m.statusUnread || m.state != mover.Moving:
		case s.Settled(passed, trusted):
			due[name] = mover.Done
			continue
		case s.Expired(passed):
			b.setMoveState(m, mover.RolledBack, "it could not be told good in time")
		}
		if !m.statusUnread && m.writtenState != m.state {
			due[name] = m.state
		}
	}
	b.mu.Unlock()
	for name, state := range due {
		if k.writeStatus(ctx, name, state) {
			continue
		}
		if !k.readStatuses(ctx) {
			return
		}
	}
}

// writeStatus writes the state of a move. It returns false if that has to be read and
// tried again.
func (k *moveManager) writeStatus(ctx context.Context, deployment string, state charter.State) bool {
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
	expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: k.rowVersions[deployment]}
	result, err := k.g.cfg.Store.Commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
	if err != nil || !result.Applied {
		k.g.cfg.Log.Warn().Str("event", "move_status_not_written").Str("deployment", deployment).Str("state", string(state)).
			Bool("refused", errorx.IsOfType(err, provider.Refused)).Err(err).Send()
		return false
	}
	k.rowVersions[deployment] = result.Version
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.moves[deployment] == m {
		m.writtenState = state
		b.setMoveState(m, state, "the new version is good")
	}
	k.g.cfg.Log.Info().Str("event", "move_reported").Str("deployment", deployment).Str("to", to).Str("state", string(state)).
		Uint64("row_version", result.Version).Send()
	return true
}
