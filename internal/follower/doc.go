// Package follower keeps a local copy of a table of the platform's store.
//
// A Follower reads the table once and then receives its changes by long polls.
// If the store no longer has the changes, the Follower reads the table again. Age returns
// the time since the last response of the store.
//
// The connection of a poll may go silent for good. So a call of its own asks for changes if
// nothing has confirmed the copy for the time that FreshFor returns. Peers confirm it to each
// other by Status and Observe, and an Observe of a newer change makes the Follower ask at
// once. A check that brings changes, or that gets no answer, ends the poll.
//
// An outage of the store may let many rows expire whose writers still run. If
// more than half of the rows are missing after an outage, they are kept for a
// grace period in which their writers can write them again. In all other cases
// a deleted row is removed at once.
//
//	f := follower.New(follower.Config{Store: store, Table: "servers", Apply: apply})
//	err := f.Run(ctx)
package follower
