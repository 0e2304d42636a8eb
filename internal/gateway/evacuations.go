package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

// evacuation is that of one failure domain.
type evacuation struct {
	// since is when this entry learned of it.
	since time.Time
	row   provider.StoreRow
	// lostAt is when the row was found missing after the store's return from an older copy.
	lostAt time.Time
}

// lostEvacuationTime is how long an evacuation goes on whose row the store has lost by its
// return from an older copy. Only operators may write the row; they write it again.
const lostEvacuationTime = 10 * time.Second

// expireEvacuations ends the evacuations whose lost rows were not written again.
func (st *state) expireEvacuations(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for domain, e := range st.evacuated {
		if !e.lostAt.IsZero() && now.Sub(e.lostAt) >= lostEvacuationTime {
			delete(st.evacuated, domain)
			st.log.Warn().Str("event", "evacuation_ended").Str("failure_domain", domain).Str("reason", "its row is lost").Dur("lasted", now.Sub(e.since)).Send()
			st.applyEvacuated()
		}
	}
}

// applyEvacuated passes the evacuated failure domains to the router. The lock must be held.
func (st *state) applyEvacuated() {
	domains := map[string]bool{}
	for name := range st.evacuated {
		domains[name] = true
	}
	st.router.SetEvacuatedDomains(domains)
}

// applyEvacuation applies a row that evacuates a failure domain while it exists. What runs
// there goes on; nothing new is sent there.
func (st *state) applyEvacuation(now time.Time, domain string, row provider.StoreRow) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, known := st.cfg.Regions[domain]; !known && st.cfg.Regions != nil {
		st.log.Error().Str("event", "evacuation_invalid").Str("failure_domain", domain).Str("reason", "the settings have no such failure domain").
			Uint64("row_version", row.Version.Number()).Send()
		return
	}
	old, evacuated := st.evacuated[domain]
	switch {
	case row.Deleted && evacuated && old.row.Version.Era() < row.Version.Era():
		// The store has returned from a copy that is older than the row; nobody deleted it.
		old.lostAt = now
		st.evacuated[domain] = old
		st.log.Warn().Str("event", "evacuation_row_lost").Str("failure_domain", domain).Uint64("era", row.Version.Era()).Uint64("previous", old.row.Version.Era()).Send()
		return
	case row.Deleted && evacuated:
		delete(st.evacuated, domain)
		st.log.Info().Str("event", "evacuation_ended").Str("failure_domain", domain).Uint64("row_version", row.Version.Number()).Dur("lasted", now.Sub(old.since)).Send()
	case evacuated:
		st.evacuated[domain] = evacuation{since: old.since, row: row}
		return
	case !row.Deleted:
		st.evacuated[domain] = evacuation{since: now, row: row}
		// The fleet replaces the upstreams at once, as after a reclaim.
		st.reclaimNoticedAt = now
		st.log.Info().Str("event", "evacuation_started").Str("failure_domain", domain).Uint64("row_version", row.Version.Number()).Int("upstreams", st.upstreamsIn(domain)).Send()
	default:
		return
	}
	st.applyEvacuated()
}

// upstreamsIn returns the number of listed upstreams in a failure domain.
func (st *state) upstreamsIn(domain string) int {
	n := 0
	for _, u := range st.upstreams {
		if u.FailureDomain == domain {
			n++
		}
	}
	return n
}

// withoutEvacuated returns a copy of a fleet that offers no VMs in evacuated failure domains.
func (st *state) withoutEvacuated(fleet *resolver.Fleet) *resolver.Fleet {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.evacuated) == 0 {
		return fleet
	}
	rest := *fleet
	rest.OnDemandPrices = maps.Clone(fleet.OnDemandPrices)
	for domain := range st.evacuated {
		delete(rest.OnDemandPrices, domain)
	}
	return &rest
}

// turnsColdOrWarm reports whether a new row of an upstream changes how long it stays cold
// otherwise than by the time that has passed.
func turnsColdOrWarm(old, u Upstream) bool {
	return u.ColdFor > old.ColdFor || u.ColdFor == 0 && old.ColdFor > 0 || u.ColdFor > 0 && u.ColdListing != old.ColdListing && u.ColdFor == old.ColdFor
}

// coldListing numbers the rows of an upstream that say how long it stays cold. A row that was
// read again after the store's return from an older copy says nothing new.
func coldListing(old, u Upstream) uint64 {
	if old.ID == u.ID && old.ColdFor == u.ColdFor && old.RowVersion.Era() < u.RowVersion.Era() {
		return old.ColdListing
	}
	return uint64(u.RowVersion)
}

// configureColdRates passes the rates that cold upstreams bear to the router. The lock must
// be held.
func (st *state) configureColdRates(r *resolver.Resolver) {
	rates := map[string]float64{}
	for _, d := range r.Deployments() {
		if d.ColdRate > 0 {
			rates[d.Name] = d.ColdRate
		}
	}
	st.router.SetColdRates(rates)
}

// allowedDomains returns the failure domains in the regions that both a route and an
// organisation, which may be nil, allow. Nil means all.
func (st *state) allowedDomains(route resolver.Route, org *resolver.Organisation) map[string]bool {
	allowed := map[string]bool(nil)
	restrict := func(regions []string) {
		if len(regions) == 0 {
			return
		}
		next := map[string]bool{}
		for domain, region := range st.cfg.Regions {
			if slices.Contains(regions, region) && (allowed == nil || allowed[domain]) {
				next[domain] = true
			}
		}
		allowed = next
	}
	restrict(route.Regions)
	if org != nil {
		restrict(org.Regions)
	}
	return allowed
}

// reportUnknownRegions logs the regions of a configuration that no failure domain has.
func (st *state) reportUnknownRegions(cfg resolver.Config) {
	known := slices.Collect(maps.Values(st.cfg.Regions))
	report := func(kind, name string, regions []string) {
		for _, region := range regions {
			if !slices.Contains(known, region) {
				st.log.Error().Str("event", "region_unknown").Str(kind, name).Str("region", region).Uint64("version", cfg.Version).Send()
			}
		}
	}
	for _, route := range cfg.Routes {
		report("route", route.Name, route.Regions)
	}
	for _, org := range cfg.Organisations {
		report("organisation", org.Name, org.Regions)
	}
}
