// Package warmer limits the requests to cold upstreams.
//
// A cold upstream bears a small number of requests per second from all entries together,
// whether these exchange messages or not. Each cold upstream is therefore assigned to a few
// entries by rendezvous hashing over all known entries, reachable or not, and each of these
// sends it a fixed number per second. An entry that does not know the others sends none,
// nor does one for SettleTime after it has first read who they are.
//
// Entries may know different lists of entries for a while, for example the two halves of a
// partition. The assigned entries use a share of the rate that leaves room for two different
// lists.
//
//	var w warmer.Warmer
//	w.SetEntries(now, "entry-1", ids)
//	if w.Allows(now, "upstream-7", 8.8) {
//		w.RecordRequest(now, "upstream-7")
//	}
package warmer
