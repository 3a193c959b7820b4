package balancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A domain that is evacuated and then cut off must leave its callers to the balancers
// of other domains, and take them back when the cut ends.
func TestIsolation(t *testing.T) {
	var i isolation
	const begin = 10 * time.Second
	must.False(t, i.update(begin, 100, time.Second, false, true)) // other domains have upstreams here
	must.False(t, i.update(begin, minUnopened, unopenedTime-1, true, true))
	must.False(t, i.update(begin, minUnopened-1, time.Second, true, true))
	must.True(t, i.update(begin, minUnopened, unopenedTime, true, true))
	// The controller has not noticed yet that it is cut off.
	must.False(t, i.update(begin+minIsolation-1, 0, 0, true, true))
	must.False(t, i.update(begin+2*minIsolation, 0, 0, true, false))
	must.True(t, i.update(begin+2*minIsolation, 0, 0, true, true))
	must.False(t, i.isolated)
	// It tries again after a while, and at once when the evacuation ends.
	must.True(t, i.update(begin, minUnopened, unopenedTime, true, false))
	must.True(t, i.update(begin+maxIsolation, 0, 0, true, false))
	must.True(t, i.update(begin, minUnopened, unopenedTime, true, false))
	must.True(t, i.update(begin+1, minUnopened, unopenedTime, false, false))
	must.False(t, i.isolated)
}
