package pooler

// IdleCount returns the number of idle connections to an upstream.
func (p *Pool) IdleCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.upstreamConns(address).idle)
}
