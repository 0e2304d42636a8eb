// Package recorder buffers audit records until they are written to the platform's
// table.
//
// The buffer is bounded. When it overflows, the oldest records are lost, and the
// number of lost records is recorded as a record of its own.
//
//	r := recorder.New(recorder.Config{EntryID: "entry-1"})
//	r.Add(now, recorder.Record{Actor: "system", Event: "started"})
//	batch := r.Pending(100) // write the batch, then:
//	r.MarkWritten(now, batch)
package recorder
