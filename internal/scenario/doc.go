// Package scenario tests the guarantees to callers and operators end to end,
// with separate processes and injected faults.
//
// Each file under testdata is one testscript: it starts entries and emulated
// upstreams, makes some of them fail, and checks responses, metrics and audit
// records. The commands that this package adds to testscript are described in
// CONTRIBUTING.md. They wait for an observable state and never sleep for a
// fixed time.
package scenario
