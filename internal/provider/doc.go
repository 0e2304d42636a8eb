// Package provider is the client of the platform: its transactional table, its
// store, its cloud and its list of VMs.
//
// Table, Store and Cloud are the interfaces that the rest of the system uses.
// HTTP implements Table and Cloud; a platform with another protocol needs only
// another implementation. Every write is conditional and has a value that its
// writer can recognise, so PutWithReadBack can determine after a lost response
// whether the write took effect.
package provider
