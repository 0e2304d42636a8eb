// Package accountant counts the requests that began to run, by window of time
// and organisation, over all entries.
//
// The idea: each entry counts its own and tells the others its counts, which
// only grow. For each process that was ever heard of the largest counts stand,
// so messages may be lost, late or doubled, and what a process that died had
// told is not lost with it.
//
//	a := accountant.New(accountant.Config{Self: "entry-1/7", Window: 5*time.Second, Keep: 8})
//	a.Began(now, "luna")
//	a.Merge("entry-2/3", told)
//	counts := a.Total(window)
package accountant
