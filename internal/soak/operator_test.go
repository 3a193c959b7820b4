package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// operator simulates an operator who sends configurations and reads them back.
type operator struct {
	h *harness

	mu       sync.Mutex
	lastSent uint64            // highest number sent
	acked    uint64            // highest number acknowledged
	sent     map[uint64]string // bodies sent, by number

	evacuations   map[string]*evacuation // by failure domain
	ordering      sync.WaitGroup         // runs the two loops of orders
	noEvacuations atomic.Bool            // ends these loops
}

// evacuation is what the operators know about the evacuation of a failure domain.
type evacuation struct {
	orders   int  // sent so far
	pending  int  // orders that are still repeated
	overlaps bool // several orders are or were pending together
	failed   bool // one of them was given up with its outcome unknown
	// isRaced reports that overlapping orders were all acknowledged: either may be
	// the later one, which the next list shows.
	isRaced  bool
	isKnown  bool // the state is known, and stays until the next order
	isActive bool
	since    time.Time // acknowledgement of isActive
}

func (o *operator) configuration(number uint64) string {
	route := func(name, service string, port int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","kind":"safe","timeout_ms":%d,"target_latency_ms":100,"priority":1,"service":%q}`,
			name, o.h.host, port, 1000+number%100, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"cold_start_s":%.1f,"cold_per_s":0.0}`, name, coldStart.Seconds())
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[%s,%s],"limits":{"idle_timeout_ms":15000}}`,
		number, route("r1", "one", routeOne), route("r2", "two", routeTwo), service("one"), service("two"))
}

// withoutServiceOne returns a configuration without the first service and its route.
func (o *operator) withoutServiceOne(number uint64) string {
	c := o.configuration(number)
	first, second := strings.Index(c, `{"name":"r1"`), strings.Index(c, `{"name":"r2"`)
	c = c[:first] + c[second:]
	first, second = strings.Index(c, `{"name":"one"`), strings.Index(c, `{"name":"two"`)
	return c[:first] + c[second:]
}

// put sends a new configuration to a random controller. While the outcome is
// unknown, it repeats the request at a random controller, up to the given number
// of attempts. It reports whether the configuration was acknowledged.
func (o *operator) put(attempts int) bool { return o.putContent(attempts, o.configuration) }

// putContent does the same with the configuration that content returns for a number.
func (o *operator) putContent(attempts int, content func(number uint64) string) bool {
	o.mu.Lock()
	o.lastSent += 1 + uint64(rand.IntN(3))
	number := o.lastSent
	body := content(number)
	o.sent[number] = body
	o.mu.Unlock()
	for range attempts {
		c := o.h.controllers[rand.IntN(len(o.h.controllers))]
		status, _ := o.h.callController(o.h.ctx, c, http.MethodPut, "/api/config", []byte(body))
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			o.acked = max(o.acked, number)
			o.mu.Unlock()
			return true
		case status >= 400 && status < 500:
			o.h.reportViolation("valid configuration %d refused with %d", number, status)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// putInvalid sends a truncated configuration, which must be rejected.
func (o *operator) putInvalid() {
	o.mu.Lock()
	body := o.configuration(o.lastSent + 1000)
	o.mu.Unlock()
	c := o.h.controllers[rand.IntN(len(o.h.controllers))]
	if status, _ := o.h.callController(o.h.ctx, c, http.MethodPut, "/api/config", []byte(body[:len(body)-rand.IntN(80)-2])); status == http.StatusOK {
		o.h.reportViolation("a truncated configuration was acknowledged")
	}
}

// read checks that a controller's read is linearizable: the configuration must not
// be older than the last one acknowledged before the request, and its content
// must be as sent. It reports whether the controller answered.
func (o *operator) read(c *process) bool {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	status, body := o.h.callController(o.h.ctx, c, http.MethodGet, "/api/config", nil)
	if status != http.StatusOK {
		return false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		o.h.reportViolation("cannot decode the configuration that was read: %v", err)
		return false
	}
	o.mu.Lock()
	want := o.sent[got.Version]
	o.mu.Unlock()
	if got.Version < acked {
		o.h.reportViolation("%s returned version %d after version %d was acknowledged", c.name, got.Version, acked)
	}
	if string(body) != want {
		o.h.reportViolation("%s returned version %d with content that differs from what was sent", c.name, got.Version)
	}
	return true
}

// evacuate orders the start or end of an evacuation at a random controller. While
// the outcome is unknown, it repeats the order at a random controller, up to the
// given number of attempts; with none it gives the first one up after 0.2 to 2.2 ms,
// about the time until an acknowledgement. It reports whether the order was
// acknowledged.
func (o *operator) evacuate(domain string, start bool, attempts int) bool {
	o.mu.Lock()
	e := o.evacuations[domain]
	e.orders++
	e.pending++
	e.overlaps = e.overlaps || e.pending > 1
	e.isKnown = e.isKnown && e.isActive == start
	e.isRaced = false
	o.mu.Unlock()
	begun := time.Now()
	isAcked := o.order(domain, start, attempts)
	o.h.t.Logf("%s evacuation of %s: start=%t acknowledged=%t after %s", begun.UTC().Format("15:04:05.000"), domain, start, isAcked, time.Since(begun).Round(time.Millisecond))
	o.mu.Lock()
	defer o.mu.Unlock()
	e.pending--
	e.failed = e.failed || !isAcked
	if e.pending > 0 {
		return isAcked
	}
	if !e.failed && !e.overlaps && !e.isKnown {
		e.isKnown, e.isActive, e.since = true, start, time.Now()
	}
	e.isRaced = !e.failed && !e.isKnown
	e.failed, e.overlaps = false, false
	return isAcked
}

func (o *operator) order(domain string, start bool, attempts int) (isAcked bool) {
	method := http.MethodDelete
	if start {
		method = http.MethodPost
	}
	ctx := o.h.ctx
	if attempts == 0 {
		attempts = 1
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(200+rand.IntN(2000))*time.Microsecond)
		defer cancel()
	}
	for range attempts {
		c := o.h.controllers[rand.IntN(len(o.h.controllers))]
		status, answer := o.h.callController(ctx, c, method, "/api/evacuations/"+domain, nil)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			o.h.reportViolation("%s of the evacuation of %s refused by %s with %d: %s", method, domain, c.name, status, answer)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// evacuateUnknown sends an order for a failure domain that does not exist, which
// must be rejected.
func (o *operator) evacuateUnknown() {
	c := o.h.controllers[rand.IntN(len(o.h.controllers))]
	method := []string{http.MethodPost, http.MethodDelete}[rand.IntN(2)]
	status, answer := o.h.callController(o.h.ctx, c, method, "/api/evacuations/nowhere", nil)
	if isRefused := status == http.StatusBadRequest && strings.Contains(string(answer), "109 unknown_domain"); !isRefused && status != 0 && status < 500 {
		o.h.reportViolation("%s answered an order for an unknown failure domain with %d: %s", c.name, status, answer)
	}
}

// listEvacuations checks that a controller lists the evacuations that are known to
// be in force and no others. It reports whether the controller answered.
func (o *operator) listEvacuations(c *process) bool {
	o.mu.Lock()
	before := make(map[string]evacuation)
	for d, e := range o.evacuations {
		before[d] = *e
	}
	o.mu.Unlock()
	status, body := o.h.callController(o.h.ctx, c, http.MethodGet, "/api/evacuations", nil)
	if status != http.StatusOK {
		return false
	}
	var got struct {
		Evacuations []struct {
			Zone string `json:"zone"`
		} `json:"evacuations"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		o.h.reportViolation("cannot decode the evacuations that were read: %v", err)
		return false
	}
	active := make(map[string]bool)
	for _, e := range got.Evacuations {
		active[e.Zone] = true
		if !slices.Contains(domains, e.Zone) {
			o.h.reportViolation("%s lists an evacuation of %q, which does not exist", c.name, e.Zone)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for d, e := range o.evacuations {
		switch was := before[d]; {
		case e.orders != was.orders: // a later order may have been applied
		case was.isKnown && was.isActive != active[d]:
			o.h.reportViolation("%s lists the evacuation of %s as active=%t; it is active=%t since %s", c.name, d, active[d], was.isActive, was.since.UTC().Format("15:04:05.000"))
		case was.isRaced && e.isRaced:
			e.isRaced, e.isKnown, e.isActive, e.since = false, true, active[d], time.Now()
		}
	}
	return true
}

// evacuatedSince returns when the evacuation of a failure domain was acknowledged, or
// the zero time if it may not be in force.
func (o *operator) evacuatedSince(domain string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.evacuations[domain]; e.isKnown && e.isActive {
		return e.since
	}
	return time.Time{}
}

// runLongEvacuations evacuates the first failure domain, each time for longer than
// the deadline, until noEvacuations is set.
func (o *operator) runLongEvacuations() {
	for o.isOrdering() {
		o.evacuate(domains[0], true, 10)
		o.listFor(evacuationDeadline + time.Duration(rand.IntN(4000))*time.Millisecond)
		if rand.IntN(2) == 0 {
			// Upstreams that start again during an evacuation are cold after it.
			o.h.returnCold(domains[0], 100*time.Millisecond)
		}
		o.evacuate(domains[0], false, 1+rand.IntN(3))
		o.listFor(time.Duration(rand.IntN(1000)) * time.Millisecond)
	}
}

// runShortEvacuations sends orders in quick succession, mostly for the second failure
// domain, until noEvacuations is set. The third one is mostly left to serve.
func (o *operator) runShortEvacuations() {
	for o.isOrdering() {
		domain := domains[1]
		if rand.IntN(8) == 0 {
			domain = domains[rand.IntN(len(domains))]
		}
		start := rand.IntN(2) == 0
		switch rand.IntN(3) {
		case 0:
			o.evacuate(domain, true, 1+rand.IntN(3))
			o.listFor(300 * time.Millisecond)
			if rand.IntN(4) == 0 {
				o.h.returnCold(domain, 100*time.Millisecond)
			}
		case 1: // given up while it may still be on its way, and countermanded
			o.evacuate(domain, start, 3)
			for range 4 {
				o.evacuate(domain, !start, 0)
				o.evacuate(domain, start, 3)
				o.listFor(200 * time.Millisecond)
			}
		case 2: // two operators
			var active sync.WaitGroup
			active.Go(func() { o.evacuate(domain, !start, 3) })
			o.evacuate(domain, start, 3)
			active.Wait()
			o.listFor(300 * time.Millisecond)
		}
		o.evacuate(domain, false, 3)
		o.evacuateUnknown()
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	}
}

func (o *operator) isOrdering() bool { return o.h.ctx.Err() == nil && !o.noEvacuations.Load() }

// listFor lists the evacuations at random controllers for a time.
func (o *operator) listFor(duration time.Duration) {
	for start := time.Now(); time.Since(start) < duration && o.isOrdering(); {
		o.listEvacuations(o.h.controllers[rand.IntN(len(o.h.controllers))])
		time.Sleep(100 * time.Millisecond)
	}
}

// run sends and reads configurations until the run ends.
func (o *operator) run() {
	for o.h.ctx.Err() == nil {
		switch rand.IntN(6) {
		case 0, 1:
			o.put(1 + rand.IntN(6))
		case 2:
			go o.put(3) // two concurrent changes
			o.put(3)
		case 3:
			o.putInvalid()
		default:
			o.read(o.h.controllers[rand.IntN(len(o.h.controllers))])
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
}
