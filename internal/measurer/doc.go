// Package measurer holds the counters, gauges and histograms of one process and
// prints them.
//
// The idea: a metric exists from its first use on, so the code that counts is
// one line. The text form is a name and a value a line, sorted.
//
//	m := measurer.New()
//	m.Count("requests")
//	m.Observe("first_token_us", 1200)
package measurer
