// Package evictor limits the connections of callers and decides which one is closed for a new
// one when there are too many.
//
// Connections whose request is being served are never closed. Of the others, the ones that
// receive a request and make no progress go first, the longest stalled one before the others,
// then the ones that have been idle longest. A connection that has stalled or been idle only
// for a moment is kept, and the new one refused: callers that stay inside the limits send
// their requests without long pauses.
//
//	e := evictor.New(evictor.Config{MaxConnections: 1000})
//	victim, ok := e.Add(now, id)
package evictor
