// Package measurer holds the counters, gauges and histograms of one process and
// renders them as text.
//
// A metric is registered by its first use. The text has one name and value a line,
// sorted by name.
//
//	m := measurer.New()
//	m.Count("requests")
//	m.Observe("first_token_us", 1200)
package measurer
