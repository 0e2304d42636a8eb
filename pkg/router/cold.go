package router

import "time"

// warmUpStep is the time in which the number of requests doubles that an entry may send to an
// upstream that has warmed up. Without it all entries would choose it at the same moment, as
// it has no load.
const warmUpStep = 250 * time.Millisecond

// maxWarmUpSpread bounds the time over which the entries return to an upstream that has warmed
// up, one every returnInterval. Until then it gets requests that no other upstream may get.
const maxWarmUpSpread = 2 * time.Second

// SetEvacuatedDomains sets the failure domains whose upstreams get nothing at all. They
// replace those of an earlier call.
func (r *Router) SetEvacuatedDomains(domains map[string]bool) { r.evacuatedDomains = domains }

// SetColdRates sets the requests per second that a cold upstream bears from all entries
// together, by deployment.
func (r *Router) SetColdRates(rates map[string]float64) { r.coldRates = rates }

// SetEntries sets the IDs of all known entries, reachable or not. Until warmer.SettleTime
// after the first call cold upstreams get no requests.
func (r *Router) SetEntries(now time.Time, ids []string) {
	r.warmer.SetEntries(now, r.cfg.EntryID, ids)
}

// isCold reports whether an upstream is cold. Those of a deployment without a cold rate never
// are, whatever the list says.
func (r *Router) isCold(now time.Time, rec *record) bool {
	return now.Before(rec.coldUntil) && r.coldRates[rec.Deployment] > 0
}

// isWarmingUp reports whether an upstream that was cold has got as many requests as it may get
// by now, and until when.
func (r *Router) isWarmingUp(now time.Time, rec *record) (time.Time, bool) {
	if r.coldRates[rec.Deployment] <= 0 {
		return time.Time{}, false
	}
	if !rec.warmedUp {
		// Requests while it was cold do not count.
		rec.warmedUp, rec.warmUp.begun = true, 0
	}
	return rec.warmUp.limitedUntil(now)
}

// updateCold takes over how long a listed upstream stays cold. The list repeats the same
// content with other changes; only a new value or a new listing counts from now.
func (r *Router) updateCold(now time.Time, rec *record) {
	if rec.ColdFor == rec.coldListed && (rec.ColdFor <= 0 || rec.ColdListing == rec.coldListing) {
		return
	}
	spread := min(maxWarmUpSpread, max(rec.ColdFor, rec.coldListed), time.Duration(r.sharingEntries()-1)*returnInterval)
	later := time.Duration(r.random.Float64() * float64(spread))
	rec.coldListed, rec.coldListing = rec.ColdFor, rec.ColdListing
	if rec.ColdFor <= 0 {
		rec.coldUntil = minTime(rec.coldUntil, now)
	} else {
		rec.coldUntil = now.Add(rec.ColdFor)
	}
	rec.warmUp, rec.warmedUp = backoff{until: rec.coldUntil.Add(later), rampStep: warmUpStep}, false
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordPicked counts a request to an upstream that is cold.
func (r *Router) recordPicked(now time.Time, rec *record) Upstream {
	if r.isCold(now, rec) {
		r.warmer.RecordRequest(now, rec.ID)
	}
	return rec.Upstream
}
