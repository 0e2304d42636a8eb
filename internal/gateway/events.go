package gateway

import (
	"bytes"
	"strconv"
)

// newEvents returns events without those that the caller already has, and
// stores the id of the last one.
func (c *call) newEvents(events []byte) []byte {
	kept := events[:0:0]
	for len(events) > 0 {
		event := events
		if end := bytes.Index(events, []byte("\n\n")); end >= 0 {
			event = events[:end+2]
		}
		events = events[len(event):]
		id, hasID := eventID(event)
		if hasID && c.alreadySent(id) {
			continue
		}
		if hasID {
			c.lastEventID = id
		}
		kept = append(kept, event...)
	}
	return kept
}

// alreadySent reports whether an event is not newer than the last one that was sent.
func (c *call) alreadySent(id string) bool {
	if c.lastEventID == "" {
		return false
	}
	last, err := strconv.ParseInt(c.lastEventID, 10, 64)
	if err != nil {
		return id == c.lastEventID
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number <= last
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, value, found := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		if found && string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}
