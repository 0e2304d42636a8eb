package gateway

const (
	// minSharedTokens is the number of shared prompt tokens from which on it counts
	// where they are kept. Fewer are read again in a few milliseconds.
	minSharedTokens = 500
	// maxPromptParts bounds the parts that are remembered in each generation.
	maxPromptParts = 4096
)

// promptHistory remembers which parts of promptHistory have come before. The zero value is
// useful.
type promptHistory struct {
	recent map[string]bool
	older  map[string]bool
}

// sharedPart returns the id of the last part that other requests are likely to
// share with a prompt, empty if too little is sharedPart. All entries agree on it
// without asking each other, unless last parts come again: those follow their
// session as soon as it is seen that they do.
func (p *promptHistory) sharedPart(parts []PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	at := len(parts) - 1
	if again := p.add(parts[at].ID); !again && at > 0 {
		at--
	}
	tokens := 0
	for _, part := range parts[:at+1] {
		tokens += part.Tokens
	}
	if tokens < minSharedTokens {
		return ""
	}
	return parts[at].ID
}

// add remembers a part and reports whether it was known.
func (p *promptHistory) add(id string) bool {
	known := p.recent[id] || p.older[id]
	if p.recent == nil || len(p.recent) >= maxPromptParts {
		p.recent, p.older = make(map[string]bool), p.recent
	}
	p.recent[id] = true
	return known
}
