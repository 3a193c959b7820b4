package affinity

// Upstreams that are alike take turns in proportion to the share of their slots (fair
// queueing by start times). Without turns, the one with the lowest average of the last
// responses takes all connections while its share is idle, and one of which several
// balancers hold a small part takes none.

// turnOf returns the turn of an upstream in a pool: the one with the lowest is next. One
// that had no connection for long does not make up for it.
func (e *Engine) turnOf(p *pool, cookie uint32) float64 {
	if s := e.upstreams[cookie]; s != nil {
		return max(s.turn, p.turn)
	}
	return p.turn
}

// takeTurn records a connection to an upstream of the own share.
func (p *pool) takeTurn(s *upstreamState, share float64) {
	p.turn = max(s.turn, p.turn)
	s.turn = p.turn + 1/share
}
