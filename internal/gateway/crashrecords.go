package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/isolator"
)

const (
	// A crash record is sent in recordSends messages, and not once it is older than
	// recordSendTime. A message has at most maxSentRecords records with at most
	// maxSentParts parts of prompts, and at most maxQueuedRecords wait.
	recordSends      = 3
	recordSendTime   = 5 * time.Second
	maxSentRecords   = 10
	maxSentParts     = 20
	maxQueuedRecords = 512
	// Messages that arrive after this entry did not run for maxRoundDelay may have
	// waited as long, and their ages are wrong. They are ignored for backlogTime.
	maxRoundDelay = time.Second
	backlogTime   = 200 * time.Millisecond
)

// queuedRecord is a crash record that waits to be sent.
type queuedRecord struct {
	isolator.CrashRecord
	queuedAt time.Time
	sends    int
	// crashes is the number of crashes of the request or of the part that has most. Records
	// with many are sent first.
	crashes int
}

// queueRecords queues new crash records for other entries. If a request has several
// crashes, all its records are sent again, as other entries may lack some.
func (st *state) queueRecords(now time.Time, records []isolator.CrashRecord) {
	q := &st.quarantine
	for _, record := range records {
		crashes := q.isolator.Crashes(now, record.Fingerprint)
		all := []isolator.CrashRecord{record}
		if crashes > 1 && record.Upstream != "" {
			all = q.isolator.Records(now, record.Fingerprint)
		}
		for _, part := range record.Parts {
			crashes = max(crashes, q.isolator.Crashes(now, part.Fingerprint))
		}
		q.queue = slices.DeleteFunc(q.queue, func(q queuedRecord) bool { return q.Fingerprint == record.Fingerprint && len(all) > 1 })
		for _, r := range all {
			q.queue = append(q.queue, queuedRecord{CrashRecord: r, queuedAt: now, crashes: crashes})
		}
	}
	slices.SortStableFunc(q.queue, func(a, b queuedRecord) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.sends, b.sends), b.queuedAt.Compare(a.queuedAt))
	})
	q.queue = q.queue[:min(len(q.queue), maxQueuedRecords)]
}

// nextRecords returns the crash records to send in this round.
func (st *state) nextRecords(now time.Time) []isolator.CrashRecord {
	q := &st.quarantine
	if !q.lastRoundAt.IsZero() && now.Sub(q.lastRoundAt) > maxRoundDelay {
		q.backlogUntil = now.Add(backlogTime)
	}
	q.lastRoundAt = now
	q.queue = slices.DeleteFunc(q.queue, func(q queuedRecord) bool {
		return q.sends >= recordSends || now.Sub(q.queuedAt) > recordSendTime
	})
	records, parts := st.convictParts(now), 0
	for i := range q.queue {
		queued := &q.queue[i]
		record := queued.CrashRecord
		record.AgeMS += now.Sub(queued.queuedAt).Milliseconds()
		record = q.isolator.Uncleared(now, record)
		if parts += len(record.Parts); len(records) >= maxSentRecords || parts > maxSentParts {
			break
		}
		queued.sends++
		records = append(records, record)
	}
	return records
}

// mergeRecords merges the crash records and the survivals in a message of another entry. A
// relay forwards new records.
func (st *state) mergeRecords(now time.Time, message peerMessage) {
	q, records := &st.quarantine, message.CrashRecords
	if len(records)+len(message.Survivals) == 0 {
		return
	}
	if now.Before(q.backlogUntil) || !q.lastRoundAt.IsZero() && now.Sub(q.lastRoundAt) > maxRoundDelay {
		st.log.Warn().Str("event", "crash_records_ignored").Int("records", len(records)).Dur("round_age", now.Sub(q.lastRoundAt)).Send()
		return
	}
	q.isolator.MergeSurvivals(now, message.Survivals)
	var added []isolator.CrashRecord
	for _, record := range records {
		if !q.isolator.Merge(now, record) {
			continue
		}
		added = append(added, record)
		if record.Convicted {
			st.log.Warn().Str("event", "part_convicted").Str("fingerprint", record.Fingerprint.String()).Str("part", q.partIDs[record.Fingerprint]).
				Dur("age", time.Duration(record.AgeMS)*time.Millisecond).Bool("told", true).Send()
		}
	}
	if st.plan.IsRelay && len(added) > 0 {
		st.queueRecords(now, added)
	}
}
