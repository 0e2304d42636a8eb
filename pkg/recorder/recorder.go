package recorder

import (
	"fmt"
	"time"
)

// defaultMaxPending bounds the records that wait.
const defaultMaxPending = 1000

// Record is one line of the audit trail.
type Record struct {
	AtMS    int64  `json:"at_ms"`
	EntryID string `json:"entry_id"`
	Seq     uint64 `json:"seq"`
	// Actor is the operator, or system.
	Actor   string `json:"actor"`
	Event   string `json:"event"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	// Generation is the configuration that the event belongs to.
	Generation uint64 `json:"generation,omitempty"`
}

// Key returns the record's place in the trail: by time, then entry.
func (r Record) Key() string {
	return fmt.Sprintf("audit/%013d/%s/%06d", r.AtMS, r.EntryID, r.Seq)
}

// Config sets a Recorder up. The zero value of Limit means 1,000.
type Config struct {
	EntryID    string
	MaxPending int
}

// Recorder buffers records. It is not safe for concurrent use.
type Recorder struct {
	cfg         Config
	seq         uint64
	pending     []Record
	lostRecords int
}

// New returns an empty recorder.
func New(cfg Config) *Recorder {
	if cfg.MaxPending <= 0 {
		cfg.MaxPending = defaultMaxPending
	}
	return &Recorder{cfg: cfg}
}

// Add takes a record at now; EntryID, Seq and AtMS are filled in. When the
// buffer is full the oldest record is lost, which is recorded once there is
// room.
func (r *Recorder) Add(now time.Time, record Record) Record {
	r.seq++
	record.Seq = r.seq
	record.EntryID = r.cfg.EntryID
	record.AtMS = now.UnixMilli()
	if len(r.pending) >= r.cfg.MaxPending {
		r.pending = r.pending[1:]
		r.lostRecords++
	}
	r.pending = append(r.pending, record)
	return record
}

// Pending returns up to n records that wait to be written, oldest first.
func (r *Recorder) Pending(n int) []Record {
	return append([]Record{}, r.pending[:min(n, len(r.pending))]...)
}

// MarkWritten drops the records that were written, by their sequence numbers, and
// records earlier losses.
func (r *Recorder) MarkWritten(now time.Time, written []Record) {
	last := uint64(0)
	for _, record := range written {
		last = max(last, record.Seq)
	}
	keep := r.pending[:0]
	for _, record := range r.pending {
		if record.Seq > last {
			keep = append(keep, record)
		}
	}
	r.pending = keep
	if r.lostRecords > 0 && len(written) > 0 {
		lost := r.lostRecords
		r.lostRecords = 0
		r.Add(now, Record{Actor: "system", Event: "audit_records_lost", Detail: fmt.Sprintf("lost=%d", lost)})
	}
}

// LostRecords returns the number of records lost and not yet recorded as such.
func (r *Recorder) LostRecords() int { return r.lostRecords }
