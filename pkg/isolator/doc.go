// Package isolator finds poison requests: requests that crash each upstream that
// runs them.
//
// When an upstream crashes without notice, each request in flight on it gets a
// crash record. A request is confirmed as poison if it was in flight at two or
// more crashes and no other request was in flight at all of them, once the crash
// records of other entries have had time to arrive. At the fourth crash it is
// confirmed without that delay. A request is never confirmed while another one was
// in flight at all of its crashes. Until then the requests are suspects: the entry
// that owns them keeps them on different upstreams, so that the next crash
// separates them. Entries merge crash records by set union, so all of them get the
// same result in any order of messages.
//
//	var i isolator.Isolator
//	i.RecordCrash(now, "vm-7", []isolator.Fingerprint{f, g})
//	i.Status(now, f) // isolator.Suspect
package isolator
