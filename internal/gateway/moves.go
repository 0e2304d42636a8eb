package gateway

import (
	"context"
	"fmt"
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

// outcomePrefix is the prefix of the names of outcome counters.
const outcomePrefix = "v/"

// The parts of the names of outcome counters: which outcomes of which version are
// counted. See outcomeKey.
const (
	countAll       = "a"
	countFailed    = "f"
	countSlow      = "s"
	countPaced     = "p"
	countLong      = "l"
	versionNew     = "n"
	versionCurrent = "p"
)

// move is this entry's state of the move of a deployment to a new version.
type move struct {
	order MoveOrder
	// epoch is the version of the order's row. A later order has a larger epoch.
	epoch     provider.Version
	startedAt time.Time
	state     charter.State
	reason    string
	// statusUnread reports that the move may have ended before this process started,
	// and that its state has not been received from the store or a peer yet.
	statusUnread bool
	// writtenState is the state in the store's status row.
	writtenState charter.State

	comparisons mover.Comparisons
	// comparedCounts are the counts that comparisons include, by route. newOutcomes is
	// the number of outcomes of the new version among them.
	comparedCounts map[string]versionCounts
	newOutcomes    int
	// loggedAt is when the comparison was last logged.
	loggedAt time.Time
}

// versionCounts are the outcomes of both versions on one route.
type versionCounts struct{ current, new mover.Counts }

// moveUpdate is the state of a move in messages between entries.
type moveUpdate struct {
	To             string           `cbor:"1,keyasint"`
	FinishWithinMS int64            `cbor:"2,keyasint"`
	Epoch          provider.Version `cbor:"3,keyasint"`
	ElapsedMS      int64            `cbor:"4,keyasint"`
	State          charter.State    `cbor:"5,keyasint"`
	Reason         string           `cbor:"6,keyasint,omitempty"`
	// Verdicts are those of earlier moves, by version.
	Verdicts map[string]mover.Verdict `cbor:"7,keyasint,omitempty"`
}

// startMove starts a move by an operator's order, unless the entry has this order or
// a later one. If atStartup is true, the order's row existed when this process
// started.
func (st *state) startMove(now time.Time, order MoveOrder, epoch provider.Version, atStartup bool) {
	m, known := st.moves[order.Deployment]
	if known && m.epoch >= epoch {
		return
	}
	if known && m.order == order && m.epoch.Era() < epoch.Era() {
		st.keepMove(m, epoch)
		return
	}
	st.moves[order.Deployment] = &move{order: order, epoch: epoch, startedAt: now, state: mover.Moving, statusUnread: atStartup, comparedCounts: map[string]versionCounts{}}
	st.log.Info().Str("event", "move_ordered").Str("deployment", order.Deployment).Str("to", order.To).
		Dur("within", order.FinishWithin).Uint64("epoch", uint64(epoch)).Bool("first_read", atStartup).Send()
	st.recordVerdict(st.moves[order.Deployment])
}

// keepMove continues a move whose order was written again after the store had returned
// from an older copy. Counters are named by epoch and begin anew.
func (st *state) keepMove(m *move, epoch provider.Version) {
	st.log.Info().Str("event", "move_kept").Str("deployment", m.order.Deployment).Str("to", m.order.To).Str("state", string(m.state)).
		Uint64("epoch", uint64(epoch)).Uint64("previous", uint64(m.epoch)).Send()
	st.deleteOutcomes(m)
	m.epoch, m.writtenState, m.comparedCounts = epoch, "", map[string]versionCounts{}
	st.recordVerdict(m)
}

// verdictsOn returns the verdicts on the versions of a deployment.
func (st *state) verdictsOn(deployment string) *mover.Verdicts {
	v, ok := st.verdicts[deployment]
	if !ok {
		v = mover.NewVerdicts(st.listedVersions(deployment))
		st.verdicts[deployment] = v
	}
	return v
}

// recordVerdict records what a move has shown of its version so far.
func (st *state) recordVerdict(m *move) {
	st.verdictsOn(m.order.Deployment).Join(m.order.To, mover.Verdict{
		Epoch: uint64(m.epoch), RolledBack: m.state == mover.RolledBack, Done: m.state == mover.Done,
	})
}

// withdrawnVersions returns the versions of a deployment that get no requests, as their latest
// orders were rolled back. The lock must be held.
func (st *state) withdrawnVersions(deployment string) []string {
	if v, ok := st.verdicts[deployment]; ok {
		return v.Withdrawn()
	}
	return nil
}

// retainVerdicts forgets the verdicts on versions that are not listed any more.
func (st *state) retainVerdicts(now time.Time) {
	for name, v := range st.verdicts {
		v.Retain(now, st.listedVersions(name))
	}
}

// listedVersions returns the versions of a deployment's listed upstreams.
func (st *state) listedVersions(deployment string) map[string]bool {
	versions := map[string]bool{}
	for _, u := range st.upstreams {
		if u.Deployment == deployment {
			versions[u.Version] = true
		}
	}
	return versions
}

// moveUpdates returns the moves for this entry's messages, by deployment. Moves whose
// status is unread are left out.
func (st *state) moveUpdates(now time.Time) map[string]moveUpdate {
	updates := make(map[string]moveUpdate, len(st.moves))
	for name, m := range st.moves {
		if m.statusUnread {
			continue
		}
		updates[name] = moveUpdate{
			To: m.order.To, FinishWithinMS: m.order.FinishWithin.Milliseconds(), Epoch: m.epoch, ElapsedMS: now.Sub(m.startedAt).Milliseconds(),
			State: m.state, Reason: m.reason, Verdicts: st.verdictsOn(name).Except(m.order.To),
		}
	}
	return updates
}

// mergeMoves merges the moves of another entry's message.
func (st *state) mergeMoves(now time.Time, updates map[string]moveUpdate) {
	for name, update := range updates {
		for version, verdict := range update.Verdicts {
			if st.verdictsOn(name).Merge(version, verdict) {
				st.log.Info().Str("event", "version_withdrawn").Str("deployment", name).Str("version", version).
					Uint64("epoch", verdict.Epoch).Bool("told", true).Send()
			}
		}
		order := MoveOrder{Deployment: name, To: update.To, FinishWithin: time.Duration(update.FinishWithinMS) * time.Millisecond}
		st.startMove(now, order, update.Epoch, false)
		m := st.moves[name]
		if m.epoch != update.Epoch {
			continue
		}
		m.statusUnread = false
		if startedAt := now.Add(-time.Duration(update.ElapsedMS) * time.Millisecond); startedAt.Before(m.startedAt) {
			m.startedAt = startedAt
		}
		state, reason := mergeEnds(m, update)
		st.setMoveState(m, state, reason)
	}
}

// mergeEnds returns the state of a move and its reason, given this entry's state of it
// and another one's. No entry has the state Done before the store has it; from then on
// the upstreams of the previous version stop, so that it is final. Otherwise mover.Merge
// decides.
func mergeEnds(m *move, update moveUpdate) (charter.State, string) {
	switch mover.Done {
	case m.state:
		return m.state, m.reason
	case update.State:
		return update.State, update.Reason
	}
	merged := mover.Merge(mover.Move{State: m.state, Reason: m.reason}, mover.Move{State: update.State, Reason: update.Reason})
	return merged.State, merged.Reason
}

// setMoveState records a new state of a move and deletes the move's counters. A move
// that has ended must keep its state.
func (st *state) setMoveState(m *move, state charter.State, reason string) {
	if m.state == state {
		return
	}
	m.state, m.reason = state, reason
	st.recordVerdict(m)
	st.log.Info().Str("event", "move_"+string(state)).Str("deployment", m.order.Deployment).Str("to", m.order.To).
		Uint64("epoch", uint64(m.epoch)).Int("outcomes", m.newOutcomes).Str("reason", reason).Send()
	st.deleteOutcomes(m)
}

// deleteOutcomes deletes the counters of a move.
func (st *state) deleteOutcomes(m *move) {
	prefix := outcomeKey(m, "", "", "")
	for _, totals := range append([]aggregator.Totals{st.ownOutcomes, st.groupTotals, st.otherGroupTotals}, st.allMemberTotals()...) {
		for name := range totals {
			if strings.HasPrefix(name, prefix) {
				delete(totals, name)
			}
		}
	}
}

func (st *state) allMemberTotals() []aggregator.Totals {
	all := make([]aggregator.Totals, 0, len(st.memberTotals))
	for _, totals := range st.memberTotals {
		all = append(all, totals)
	}
	return all
}

// outcomeKey returns the name of an outcome counter of a move. With an empty route it
// returns the prefix of all counters of the move.
func outcomeKey(m *move, route, version, count string) string {
	key := outcomePrefix + strconv.FormatUint(uint64(m.epoch), 36) + "/"
	if route == "" {
		return key
	}
	return key + route + "/" + version + count
}

// moveSchedule returns the schedule of a move at the current request rate.
func (st *state) moveSchedule(now time.Time, m *move) mover.Schedule {
	limits := st.cfg.Moves
	rate := st.totalDemand(now, m.order.Deployment).RequestRate
	return mover.Schedule{Duration: m.order.FinishWithin, MaxExposure: mover.MaxExposure(limits.ExposureShare, limits.ExposureAllowance, rate, m.order.FinishWithin)}
}

// newVersionShare returns the share of a deployment's requests that go to the new
// version. It is 0 while the status of the move is unread.
func (st *state) newVersionShare(now time.Time, m *move) float64 {
	switch {
	case m.state == mover.Done:
		return 1
	case m.state == mover.RolledBack || m.statusUnread:
		return 0
	default:
		return st.moveSchedule(now, m).Share(now.Sub(m.startedAt), mover.Trusted(m.newOutcomes, &m.comparisons))
	}
}

// restrictVersion limits a request to the upstreams of one version if a move of its
// deployment requires it. Retries go to the current version until the move is done.
// The lock must be held.
func (st *state) restrictVersion(now time.Time, c *call, request *router.Request) {
	withdrawn := st.withdrawnVersions(c.deployment)
	request.AvoidVersions = withdrawn
	m, ok := st.moves[c.deployment]
	if !ok {
		return
	}
	others := append(slices.Clone(withdrawn), m.order.To)
	newUpstreams := st.router.EligibleCount(now, router.Request{Deployment: c.deployment, Version: m.order.To, Domains: c.domains})
	otherUpstreams := st.router.EligibleCount(now, router.Request{Deployment: c.deployment, AvoidVersions: others, Domains: c.domains})
	switch {
	case m.state == mover.RolledBack:
		request.AvoidVersions = others
	case newUpstreams == 0 || otherUpstreams == 0:
		// Only one version has eligible upstreams.
	case m.state == mover.Done:
		request.Version = m.order.To
	case c.sends > 0:
		request.AvoidVersions = others
	default:
		share := st.newVersionShare(now, m)
		if !mover.Selected(c.request.ID, mover.Move{ID: strconv.FormatUint(uint64(m.epoch), 36)}, share) {
			request.AvoidVersions = others
			return
		}
		request.Version, request.PrefixHash = m.order.To, 0
		request.Exclude = append(slices.Clone(request.Exclude), st.unusedUpstreams(now, m, share)...)
	}
}

// unusedUpstreams returns the upstreams of the new version that don't serve the next
// request at its current share. Entries with the same list of upstreams choose the same
// ones.
func (st *state) unusedUpstreams(now time.Time, m *move, share float64) []string {
	eligible := st.router.Eligible(now, router.Request{Deployment: m.order.Deployment, Version: m.order.To})
	slices.SortFunc(eligible, func(a, b router.Upstream) int {
		if xxhash.Sum64String(a.ID) < xxhash.Sum64String(b.ID) {
			return -1
		}
		return 1
	})
	var unused []string
	if st.moveSchedule(now, m).Packed(now.Sub(m.startedAt), mover.Trusted(m.newOutcomes, &m.comparisons)) && len(eligible) > 0 {
		occupancies := make([]mover.Occupancy, len(eligible))
		for i, u := range eligible {
			occupancies[i] = mover.Occupancy{Load: st.router.EstimatedLoad(now, u.ID), Slots: float64(max(1, u.Slots))}
		}
		used := mover.NextPacked(occupancies)
		for _, u := range slices.Delete(eligible, used, used+1) {
			unused = append(unused, u.ID)
		}
		return unused
	}
	for _, u := range eligible[mover.UpstreamsForShare(share, len(eligible)):] {
		unused = append(unused, u.ID)
	}
	return unused
}

// recordOutcome counts the outcome of an attempt on an upstream. Latency is the time
// to the first event or the response, zero if there was none. Suspects don't count for
// the comparison of versions. The lock must be held.
func (st *state) recordOutcome(c *call, u Upstream, failed bool, latency time.Duration) {
	m, moving := st.moves[c.deployment]
	isNew := moving && u.Version == m.order.To
	if !isNew && slices.Contains(st.withdrawnVersions(c.deployment), u.Version) {
		// It is no measure for the versions that get requests.
		return
	}
	threshold, ok := st.latencyThresholds[c.route.Name]
	if !ok {
		threshold = &mover.LatencyThreshold{}
		st.latencyThresholds[c.route.Name] = threshold
	}
	usualLoad := st.usualLoad(c.deployment)
	// On an upstream with more load than usual, the time to the first event is that of
	// its queue.
	slow := latency > 0 && c.loadAtStart < usualLoad.Value() && latency > threshold.Threshold(mover.MinLatencyThreshold(c.route.TargetLatency, false))
	if latency > 0 && !isNew {
		threshold.Observe(latency)
		usualLoad.Observe(c.loadAtStart + 1)
	}
	if !moving || m.state != mover.Moving || c.isSuspect {
		return
	}
	st.countOutcome(m, c, isNew, countAll, true)
	st.countOutcome(m, c, isNew, countFailed, failed)
	st.countOutcome(m, c, isNew, countSlow, slow)
}

// recordPause counts the typical pause of a stream from an upstream. It is counted
// when the first pauses are known, since the whole stream of a slow upstream takes too
// long to wait for. The lock must be held.
func (st *state) recordPause(c *call, u Upstream, pause time.Duration) {
	m, moving := st.moves[c.deployment]
	isNew := moving && u.Version == m.order.To
	if !isNew && slices.Contains(st.withdrawnVersions(c.deployment), u.Version) {
		return
	}
	threshold, ok := st.pauseThresholds[c.deployment]
	if !ok {
		threshold = &mover.PauseThreshold{}
		st.pauseThresholds[c.deployment] = threshold
	}
	long := threshold.IsLong(pause, c.loadAtStart >= st.usualLoad(c.deployment).Value())
	if !isNew {
		threshold.Observe(pause)
	}
	if !moving || m.state != mover.Moving || c.isSuspect {
		return
	}
	st.countOutcome(m, c, isNew, countPaced, true)
	st.countOutcome(m, c, isNew, countLong, long)
}

// usualLoad returns the quantile of the loads that requests met on a deployment's current
// version, plus one.
func (st *state) usualLoad(deployment string) *mover.Quantile {
	usualLoad, ok := st.usualLoads[deployment]
	if !ok {
		usualLoad = &mover.Quantile{}
		st.usualLoads[deployment] = usualLoad
	}
	return usualLoad
}

// countOutcome adds one to an outcome counter if counted is true.
func (st *state) countOutcome(m *move, c *call, isNew bool, count string, counted bool) {
	version := versionCurrent
	if isNew {
		version = versionNew
	}
	if counted {
		st.ownOutcomes[outcomeKey(m, c.route.Name, version, count)]++
	}
}

// compareVersions compares the versions of each move by the outcomes of all entries
// and rolls the move back if the comparisons give a reason.
func (st *state) compareVersions() {
	for _, m := range st.moves {
		if m.state != mover.Moving {
			continue
		}
		for route, total := range st.outcomesByRoute(m) {
			previous := m.comparedCounts[route]
			newCounts := total.new.Sub(previous.new)
			m.comparisons.Observe(route, total.current.Sub(previous.current), newCounts)
			m.newOutcomes += newCounts.Outcomes
			m.comparedCounts[route] = total
		}
		if reason := m.comparisons.RollBackReason(); reason != "" {
			st.setMoveState(m, mover.RolledBack, reason)
		}
	}
}

// loggedLevels is the number of the strongest levels of evidence in one log line.
const loggedLevels = 6

// comparisonLogInterval is the shortest time between two log lines about the
// comparison of one move.
const comparisonLogInterval = time.Second

// logComparisons logs what the decisions about the moves in progress are based on.
func (st *state) logComparisons(now time.Time) {
	for name, m := range st.moves {
		if m.state != mover.Moving || now.Sub(m.loggedAt) < comparisonLogInterval {
			continue
		}
		m.loggedAt = now
		currentCounts, newCounts := m.comparisons.Totals()
		levels := m.comparisons.Levels()
		list := make([]string, 0, loggedLevels)
		for _, l := range levels[:min(loggedLevels, len(levels))] {
			list = append(list, fmt.Sprintf("%s/%s %.3g above %.3f", l.Route, l.Kind, l.Level, l.NullRate))
		}
		oldest := time.Duration(0)
		entries := 1
		for _, last := range st.received {
			if age := now.Sub(last.at); age <= peerTimeout {
				entries += max(1, last.message.Entries)
				oldest = max(oldest, age)
			}
		}
		st.log.Info().Str("event", "move_compared").Str("deployment", name).Uint64("epoch", uint64(m.epoch)).Dur("elapsed", now.Sub(m.startedAt)).
			Float64("share", st.newVersionShare(now, m)).Bool("trusted", mover.Trusted(m.newOutcomes, &m.comparisons)).
			Float64("request_rate", st.totalDemand(now, name).RequestRate).Int("entries", entries).Dur("oldest_message", oldest).
			Interface("current", currentCounts).Interface("new", newCounts).Strs("levels", list).Send()
	}
}

// outcomesByRoute returns the outcomes of a move over all entries, by route.
func (st *state) outcomesByRoute(m *move) map[string]versionCounts {
	prefix := outcomeKey(m, "", "", "")
	totalByKey := aggregator.Totals{}
	for _, totals := range []aggregator.Totals{st.ownOutcomes, st.groupTotals, st.otherGroupTotals} {
		for name, total := range totals {
			if rest, ok := strings.CutPrefix(name, prefix); ok {
				totalByKey[rest] += total
			}
		}
	}
	byRoute := map[string]versionCounts{}
	for name, total := range totalByKey {
		slash := strings.LastIndexByte(name, '/')
		if slash < 0 || len(name)-slash != len(versionNew)+len(countAll)+1 {
			continue
		}
		counts := byRoute[name[:slash]]
		selected := &counts.current
		if name[slash+1:slash+2] == versionNew {
			selected = &counts.new
		}
		switch name[slash+2:] {
		case countAll:
			selected.Outcomes = int(total)
		case countFailed:
			selected.Failed = int(total)
		case countSlow:
			selected.Slow = int(total)
		case countPaced:
			selected.Paced = int(total)
		case countLong:
			selected.LongPauses = int(total)
		}
		byRoute[name[:slash]] = counts
	}
	return byRoute
}

// moveManager reads and writes the status rows of moves in the store.
type moveManager struct {
	g *Gateway
	// rowVersions are the versions of the status rows, by deployment.
	rowVersions map[string]provider.Version
}

// forgetRows forgets the status rows of an earlier era of the store. The states are
// written again.
func (mm *moveManager) forgetRows() {
	clear(mm.rowVersions)
	st := mm.g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, m := range st.moves {
		m.writtenState = ""
	}
}

// readOldMoves reads the status of moves that were ordered before this process
// started.
func (mm *moveManager) readOldMoves(ctx context.Context) {
	st := mm.g.state
	st.mu.Lock()
	unread := false
	for _, m := range st.moves {
		unread = unread || m.statusUnread
	}
	// Members receive the status from a relay.
	unread = unread && (st.plan.IsRelay || st.received[othersGroup].at.IsZero())
	st.mu.Unlock()
	if unread {
		mm.readStatuses(ctx)
	}
}

// readStatuses reads the states of moves from the store. It returns false if the store
// could not be read.
func (mm *moveManager) readStatuses(ctx context.Context) bool {
	page, err := mm.g.cfg.Store.Read(ctx, mm.g.cfg.Tables.MoveStatus)
	if err != nil {
		mm.g.cfg.Log.Warn().Str("event", "move_status_not_read").Err(err).Send()
		return false
	}
	st := mm.g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, m := range st.moves {
		m.statusUnread = false
	}
	for _, row := range page.Rows {
		status, ok, err := mm.g.cfg.Decoder.MoveStatus(row.Key, row.Value)
		if err != nil {
			mm.g.cfg.Log.Warn().Str("event", "move_status_invalid").Str("row", row.Key).Uint64("row_version", row.Version.Number()).Err(err).Send()
		}
		if !ok || err != nil {
			continue
		}
		mm.rowVersions[status.Deployment] = row.Version
		m, known := st.moves[status.Deployment]
		if !known || row.Version < m.epoch || status.To != m.order.To {
			continue
		}
		m.writtenState = status.State
		if status.State != mover.Moving {
			st.setMoveState(m, status.State, "the store says so")
		}
	}
	return true
}

// advance ends moves that have settled or expired and writes changed states to the
// store. Only the leader calls it.
func (mm *moveManager) advance(ctx context.Context) {
	st := mm.g.state
	now := mm.g.cfg.Now()
	st.mu.Lock()
	due := map[string]charter.State{}
	for name, m := range st.moves {
		elapsed, trusted := now.Sub(m.startedAt), mover.Trusted(m.newOutcomes, &m.comparisons)
		schedule := st.moveSchedule(now, m)
		switch {
		case m.statusUnread || m.state != mover.Moving:
		case schedule.Settled(elapsed, trusted):
			due[name] = mover.Done
			continue
		case schedule.Expired(elapsed):
			st.setMoveState(m, mover.RolledBack, "it could not be told good in time")
		}
		if !m.statusUnread && m.writtenState != m.state {
			due[name] = m.state
		}
	}
	st.mu.Unlock()
	for name, state := range due {
		if mm.writeStatus(ctx, name, state) {
			continue
		}
		if !mm.readStatuses(ctx) {
			return
		}
	}
}

// writeStatus writes the state of a move to the store. It returns false if the status
// has to be read before another try.
func (mm *moveManager) writeStatus(ctx context.Context, deployment string, state charter.State) bool {
	st := mm.g.state
	st.mu.Lock()
	m := st.moves[deployment]
	// Another entry may have rolled the move back in the meantime.
	mayWrite := m.state == mover.Moving || m.state == state
	to := m.order.To
	st.mu.Unlock()
	if !mm.g.leader.holdsLease() || !mayWrite {
		return true
	}
	row, err := mm.g.cfg.Encoder.MoveStatus(MoveStatus{Deployment: deployment, To: to, State: state})
	if err != nil {
		mm.g.cfg.Log.Error().Str("event", "move_status_not_encoded").Err(err).Send()
		return true
	}
	row.Table = mm.g.cfg.Tables.MoveStatus
	expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: mm.rowVersions[deployment]}
	result, err := mm.g.leader.commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
	if err != nil || !result.Applied {
		mm.g.cfg.Log.Warn().Str("event", "move_status_not_written").Str("deployment", deployment).Str("state", string(state)).
			Bool("refused", errorx.IsOfType(err, provider.Refused)).Err(err).Send()
		return false
	}
	mm.rowVersions[deployment] = result.Version
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.moves[deployment] == m {
		m.writtenState = state
		st.setMoveState(m, state, "the new version is good")
	}
	mm.g.cfg.Log.Info().Str("event", "move_reported").Str("deployment", deployment).Str("to", to).Str("state", string(state)).
		Uint64("row_version", result.Version.Number()).Send()
	return true
}
