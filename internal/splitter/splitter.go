package splitter

import (
	"bytes"
	"iter"
)

// Event is an event with its empty line, or bytes between two events: further empty
// lines, or the LF of a CRLF that ends an event.
type Event struct {
	// Bytes are valid until the next call of Write.
	Bytes []byte
	// ID is the value of the last id field, empty if there is none.
	ID string
	// HasFields reports that there are lines other than comments and empty lines.
	HasFields bool
}

// Splitter holds the part of a stream that has been received and not been returned. New
// returns an empty one.
type Splitter struct {
	buffer []byte
	// start is the offset of the current event, scanned that of the next byte to look
	// at.
	start, scanned int
	// atLineStart reports that the current line is empty so far, afterCR that the
	// previous byte was a CR.
	atLineStart, afterCR bool
	// started reports that an event has been returned. Only the first one may begin
	// with a byte order mark.
	started bool
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{atLineStart: true} }

// Write adds received bytes.
func (s *Splitter) Write(received []byte) {
	s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
	s.scanned -= s.start
	s.start = 0
	s.buffer = append(s.buffer, received...)
}

// Pending returns the number of bytes that have not been returned.
func (s *Splitter) Pending() int { return len(s.buffer) - s.start }

// Events returns the events that are complete.
func (s *Splitter) Events() iter.Seq[Event] {
	return func(yield func(Event) bool) {
		for s.scanned < len(s.buffer) {
			if s.scan() && !yield(s.take()) {
				return
			}
		}
	}
}

// scan looks at the next byte and reports whether it ends an event.
func (s *Splitter) scan() bool {
	b := s.buffer[s.scanned]
	s.scanned++
	followsCR := s.afterCR
	s.afterCR = b == '\r'
	switch {
	case b == '\n' && followsCR:
		// The LF of a CRLF. If the CR ended an event, the LF is all that there is.
		return s.scanned-1 == s.start
	case b != '\n' && b != '\r':
		s.atLineStart = false
		return false
	}
	ended := s.atLineStart
	s.atLineStart = true
	if ended && b == '\r' && s.scanned < len(s.buffer) && s.buffer[s.scanned] == '\n' {
		s.scanned++
		s.afterCR = false
	}
	return ended
}

// take returns the bytes up to the one that was scanned last as an event.
func (s *Splitter) take() Event {
	event := Event{Bytes: s.buffer[s.start:s.scanned]}
	s.start = s.scanned
	for name, value := range s.fields(event.Bytes) {
		event.HasFields = true
		if string(name) == "id" && !bytes.Contains(value, []byte{0}) {
			event.ID = string(value)
		}
	}
	s.started = true
	return event
}

// End returns what is left when the stream has ended, and whether the stream ended
// between two events. Comments may be left then.
func (s *Splitter) End() (rest []byte, complete bool) {
	rest = s.buffer[s.start:]
	if !s.atLineStart {
		return rest, false
	}
	for range s.fields(rest) {
		return rest, false
	}
	return rest, true
}

var byteOrderMark = []byte("\ufeff")

// fields returns the names and values of the fields of an event.
func (s *Splitter) fields(event []byte) iter.Seq2[[]byte, []byte] {
	if !s.started {
		event = bytes.TrimPrefix(event, byteOrderMark)
	}
	return func(yield func(name, value []byte) bool) {
		for len(event) > 0 {
			line := event
			if end := bytes.IndexAny(event, "\r\n"); end >= 0 {
				line, event = event[:end], event[end+1:]
			} else {
				event = nil
			}
			name, value, _ := bytes.Cut(line, []byte(":"))
			if len(name) > 0 && !yield(name, bytes.TrimPrefix(value, []byte(" "))) {
				return
			}
		}
	}
}
