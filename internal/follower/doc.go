// Package follower keeps a copy of a table of the platform's store.
//
// The idea: read the table once, then follow its changes; after lost history
// read it again. The copy says how old it is. If most rows are missing after the
// store was away they are kept for a grace, since writers whose rows lapsed
// meanwhile need time to write them again; any other row that is dropped is gone
// at once.
//
//	f := follower.New(follower.Config{Store: store, Table: "servers", Apply: apply})
//	err := f.Run(ctx)
package follower
