// Package recorder keeps audit records until they are written.
//
// The idea: a record that can't be written now waits in a bounded buffer, and
// when the buffer overflows the loss itself becomes a record. The owner drains
// the buffer to the platform's table:
//
//	r.Add(recorder.Record{...})
//	batch := r.Pending(100) // write them, then
//	r.Written(len(batch))
package recorder
