// Package keeper is the platform as galenahitch sees it: a transactional
// table, an object store, a list of VMs and the cloud's notices.
//
// Table and Cloud are the interfaces that the rest of the system knows; HTTP
// is the one adapter, so a platform with another protocol needs only another
// adapter. Every write is conditional and carries a value that its writer can
// recognise, so an answer that is lost after the write took effect is settled
// by reading the row back (see Settle).
package provider
