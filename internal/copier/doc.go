// Package copier serves an entry's copies of the store's tables to other entries and reads
// theirs, over TCP.
//
// An entry that the store turns away follows its tables through others. A copy is one response
// to an HTTP request, encoded as CBOR and bounded in size; a connection serves one request. Who
// is no entry gets nothing. A copy is checked as a whole before any of it is used.
package copier
