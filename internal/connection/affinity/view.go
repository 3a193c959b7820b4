package affinity

import (
	"net/netip"

	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// Upstream is an incarnation that packets may be sent to.
type Upstream struct {
	directory.Record
	Cookie uint32 // tag of the incarnation
}

// isEligible reports whether the upstream takes new connections.
func (u *Upstream) isEligible() bool { return u.State == directory.Serving }

// View is an immutable state of routes and upstreams.
type View struct {
	Routes *routing.Table
	// Current reports that the state was confirmed lately; a route that is
	// missing then does not exist.
	Current   bool
	byCookie  map[uint32]*Upstream
	byService map[string][]*Upstream
}

// NewView indexes records. Of two incarnations with the same tag the one that
// started first keeps it; the other takes no connections until the first is
// forgotten.
func NewView(routes *routing.Table, current bool, records []directory.Record) *View {
	v := &View{Routes: routes, Current: current, byCookie: make(map[uint32]*Upstream, len(records)), byService: make(map[string][]*Upstream)}
	for i := range records {
		u := &Upstream{Record: records[i], Cookie: records[i].Tag()}
		if holder := v.byCookie[u.Cookie]; holder != nil && holder.Born <= u.Born {
			continue
		}
		v.byCookie[u.Cookie] = u
	}
	for _, u := range v.byCookie {
		if u.isEligible() {
			v.byService[u.Service] = append(v.byService[u.Service], u)
		}
	}
	return v
}

// Upstream returns the upstream of a cookie, or nil.
func (v *View) Upstream(cookie uint32) *Upstream { return v.byCookie[cookie] }

// route returns the route of an address, or nil.
func (v *View) route(address netip.AddrPort) *routing.Route {
	if v.Routes == nil {
		return nil
	}
	return v.Routes.Route(address)
}
