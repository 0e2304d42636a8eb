package recorder

import (
	"fmt"
	"time"
)

// defaultMaxPending is the default of Config.MaxPending.
const defaultMaxPending = 1000

// Record is one line of the audit trail.
type Record struct {
	AtMS    int64  `json:"at_ms"`
	EntryID string `json:"entry_id"`
	Seq     uint64 `json:"seq"`
	// Actor is the name of the operator, or "system".
	Actor   string `json:"actor"`
	Event   string `json:"event"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	// Generation is the configuration generation that the event belongs to.
	Generation uint64 `json:"generation,omitempty"`
}

// Key returns the record's table key, which sorts by time, then by entry.
func (r Record) Key() string {
	return fmt.Sprintf("audit/%013d/%s/%06d", r.AtMS, r.EntryID, r.Seq)
}

// Config configures a Recorder. MaxPending bounds the buffered records; zero
// means 1,000.
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

// Add fills in AtMS, EntryID and Seq and buffers the record. When the buffer is
// full, the oldest record is lost; MarkWritten records the loss.
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

// Pending returns up to n buffered records, oldest first.
func (r *Recorder) Pending(n int) []Record {
	return append([]Record{}, r.pending[:min(n, len(r.pending))]...)
}

// MarkWritten removes the records up to the largest sequence number of the
// written ones from the buffer. If records were lost, it then adds a record that
// states how many.
func (r *Recorder) MarkWritten(now time.Time, written []Record) {
	last := uint64(0)
	for _, record := range written {
		last = max(last, record.Seq)
	}
	unwritten := r.pending[:0]
	for _, record := range r.pending {
		if record.Seq > last {
			unwritten = append(unwritten, record)
		}
	}
	r.pending = unwritten
	if r.lostRecords > 0 && len(written) > 0 {
		lost := r.lostRecords
		r.lostRecords = 0
		r.Add(now, Record{Actor: "system", Event: "audit_records_lost", Detail: fmt.Sprintf("lost=%d", lost)})
	}
}

// LostRecords returns the number of lost records that has not been recorded yet.
func (r *Recorder) LostRecords() int { return r.lostRecords }
