// Package prefixer estimates which parts of prompts upstreams hold in their memory.
//
// An upstream that has read the first parts of a prompt does not read them again while it
// holds them. It evicts the least recently used parts. The index knows what this entry has
// sent to each upstream. From the tokens read there since, and the number of entries that
// send alike, it derives the probability that a part is still held.
//
//	x := prefixer.New(prefixer.Config{MaxBytes: 1 << 20})
//	x.RecordSent("model", "u1", parts)
//	held := x.HeldTokens("model", "u1", parts)
//
// An Index is not safe for concurrent use. Wrong or lost knowledge costs the reading of the
// parts.
package prefixer
