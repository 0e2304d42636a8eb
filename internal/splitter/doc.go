// Package splitter splits the body of a text/event-stream response into events and
// leaves each byte as it is, so that the events can be forwarded unchanged.
//
// An event ends with an empty line; lines end with LF, CR or CRLF. A stream that ends
// before the empty line of its last event has been broken off (HTML Standard, section
// 9.2.6, "Interpreting an event stream").
//
//	s := splitter.New()
//	s.Write(received)
//	for event := range s.Events() {
//		send(event.Bytes)
//	}
//	rest, complete := s.End()
package splitter
