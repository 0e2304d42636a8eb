package gateway

import (
	"strings"

	"github.com/galenahitch/galenahitch/pkg/prefixer"
)

const (
	// minSharedTokens is the number of shared prompt tokens from which on a
	// request prefers upstreams that have them cached. The prefill of fewer
	// takes a few milliseconds.
	minSharedTokens = 500
	// maxPromptParts limits the parts in each of the two generations of
	// promptHistory.
	maxPromptParts = 4096
	// maxIndexedParts limits the parts of one prompt that are looked up for each candidate. A
	// prompt with more counts as read from there on.
	maxIndexedParts = 32
	// A log line names at most maxLoggedParts parts of a prompt, cut to maxLoggedPartBytes.
	maxLoggedParts     = 8
	maxLoggedPartBytes = 24
)

// promptHistory is the set of prompt parts that were seen recently. The zero
// value is empty and ready to use.
type promptHistory struct {
	recent map[string]bool
	older  map[string]bool
}

// sharedPart returns the id of the last part of a prompt that other requests
// are likely to share, or an empty string if fewer than minSharedTokens are
// shared.
//
// That is the part before the last one, because a last part is usually unique
// to its request. All entries get this result without exchanging messages. If
// this entry has seen the last part before, it is shared as well, and
// sharedPart returns its id.
func (p *promptHistory) sharedPart(parts []PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	last := len(parts) - 1
	if repeated := p.add(parts[last].ID); !repeated && last > 0 {
		last--
	}
	tokens := 0
	for _, part := range parts[:last+1] {
		tokens += part.Tokens
	}
	if tokens < minSharedTokens {
		return ""
	}
	return parts[last].ID
}

// sharedTokens returns the number of tokens of a prompt's parts up to the one with an id.
func sharedTokens(parts []PromptPart, id string) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
		if part.ID == id {
			break
		}
	}
	return tokens
}

// prefixParts returns the parts of a prompt for the index of prefixes.
func prefixParts(parts []PromptPart) []prefixer.Part {
	list := make([]prefixer.Part, 0, min(len(parts), maxIndexedParts))
	for _, part := range parts[:min(len(parts), maxIndexedParts)] {
		list = append(list, prefixer.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return list
}

// add adds a part and reports whether it was present.
func (p *promptHistory) add(id string) bool {
	known := p.recent[id] || p.older[id]
	if p.recent == nil || len(p.recent) >= maxPromptParts {
		p.recent, p.older = make(map[string]bool), p.recent
	}
	p.recent[id] = true
	return known
}

// describeParts returns the ids of a prompt's first parts for a log line.
func describeParts(parts []PromptPart) string {
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
	}
	return strings.Join(ids, ",")
}
