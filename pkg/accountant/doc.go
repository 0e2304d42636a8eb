// Package accountant counts the requests that started to run, by time window and
// organisation, over all entries.
//
// Each process counts its own requests and sends its counts to the others. Counts
// only grow, and the largest count received of each process is kept. Messages may
// thus be lost, late or duplicated, and the counts that a process sent before it
// failed are not lost.
//
//	a := accountant.New(accountant.Config{Self: "entry-1/7", Window: 5 * time.Second, MaxWindows: 8})
//	a.CountStart(now, "luna")
//	a.Merge("entry-2/3", received)
//	counts := a.Total(window)
package accountant
