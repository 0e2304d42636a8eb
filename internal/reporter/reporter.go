// Package reporter writes the log lines about upstreams that an entry avoids.
package reporter

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// LogAvoided logs which upstreams have begun or ceased to be avoided, and why. ListAge is the
// age of the list of upstreams.
func LogAvoided(log zerolog.Logger, now time.Time, listAge time.Duration, changes []router.Change) {
	for _, change := range changes {
		logEnd(log, now, change)
		logBeginning(log, now, listAge, change)
	}
}

func logEnd(log zerolog.Logger, now time.Time, change router.Change) {
	before := change.Before
	if before.Allowed() {
		return
	}
	line := log.Info().Str("event", "upstream_avoidance_ended").Str("upstream", change.ID).Str("cause", string(before.Cause)).
		Str("source", string(before.Source)).Str("now", string(change.After.Cause))
	if !before.Since.IsZero() {
		line = line.Dur("lasted", now.Sub(before.Since))
	}
	line.Send()
}

func logBeginning(log zerolog.Logger, now time.Time, listAge time.Duration, change router.Change) {
	after := change.After
	if after.Allowed() || after.Cause == router.CauseUnlisted {
		return
	}
	line := log.Info().Str("event", "upstream_avoided").Str("upstream", change.ID).Str("cause", string(after.Cause)).
		Str("source", string(after.Source)).Dur("list_age", listAge)
	if !after.Since.IsZero() {
		line = line.Dur("age", now.Sub(after.Since))
	}
	if !after.Until.IsZero() {
		line = line.Dur("left", after.Until.Sub(now))
	}
	line.Send()
}
