package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// operator simulates an operator who sends configurations and reads them back.
type operator struct {
	h *harness

	mu       sync.Mutex
	lastSent uint64            // highest number sent
	acked    uint64            // highest number acknowledged
	sent     map[uint64]string // bodies sent, by number
}

func (o *operator) configuration(number uint64) string {
	route := func(name, service string, port int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","kind":"safe","timeout_ms":%d,"target_latency_ms":100,"priority":1,"service":%q}`,
			name, o.h.host, port, 1000+number%100, service)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":"one"},{"name":"two"}],"limits":{"idle_timeout_ms":15000}}`,
		number, route("r1", "one", routeOne), route("r2", "two", routeTwo))
}

// put sends a new configuration to a random controller. While the outcome is
// unknown, it repeats the request at a random controller, up to the given number
// of attempts. It reports whether the configuration was acknowledged.
func (o *operator) put(attempts int) bool {
	o.mu.Lock()
	o.lastSent += 1 + uint64(rand.IntN(3))
	number := o.lastSent
	body := o.configuration(number)
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
