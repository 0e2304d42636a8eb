package gateway

import (
	"iter"
	"strconv"

	"github.com/galenahitch/galenahitch/internal/splitter"
)

// newEvents returns the bytes of events without those that the caller already has, and
// stores the id of the last one. A stream can't be resumed after an event without an id,
// and errNotResumed says that such an event is the first of a resumed stream.
func (c *call) newEvents(events iter.Seq[splitter.Event]) ([]byte, error) {
	var kept []byte
	for event := range events {
		if c.resuming && event.HasFields {
			if event.ID == "" {
				return nil, errNotResumed
			}
			c.resuming = false
		}
		if event.ID != "" && c.alreadySent(event.ID) {
			continue
		}
		if event.ID != "" {
			c.lastEventID = event.ID
		}
		if event.HasFields {
			c.notResumable = event.ID == ""
		}
		kept = append(kept, event.Bytes...)
	}
	return kept, nil
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
