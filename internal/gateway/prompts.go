package gateway

const (
	// leastShared is the number of shared prompt tokens from which on it counts
	// where they are kept. Fewer are read again in a few milliseconds.
	leastShared = 500
	// promptMemory bounds the parts that are remembered in each generation.
	promptMemory = 4096
)

// prompts remembers which parts of prompts have come before. The zero value is
// useful.
type prompts struct {
	recent map[string]bool
	older  map[string]bool
}

// shared returns the id of the last part that other requests are likely to
// share with a prompt, empty if too little is shared. All entries agree on it
// without asking each other, unless last parts come again: those follow their
// session as soon as it is seen that they do.
func (p *prompts) shared(parts []PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	at := len(parts) - 1
	if again := p.note(parts[at].ID); !again && at > 0 {
		at--
	}
	tokens := 0
	for _, part := range parts[:at+1] {
		tokens += part.Tokens
	}
	if tokens < leastShared {
		return ""
	}
	return parts[at].ID
}

// note remembers a part and reports whether it was known.
func (p *prompts) note(id string) bool {
	known := p.recent[id] || p.older[id]
	if p.recent == nil || len(p.recent) >= promptMemory {
		p.recent, p.older = make(map[string]bool), p.recent
	}
	p.recent[id] = true
	return known
}
