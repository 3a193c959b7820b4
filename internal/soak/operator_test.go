package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// operator sends configurations and reads them back.
type operator struct {
	w *world

	mu      sync.Mutex
	number  uint64            // last one sent
	acked   uint64            // highest one acknowledged
	content map[uint64]string // bodies sent, by number
}

func (o *operator) document(number uint64) string {
	route := func(name, service string, port int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","kind":"safe","timeout_ms":%d,"target_latency_ms":100,"priority":1,"service":%q}`,
			name, o.w.host, port, 1000+number%100, service)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":"one"},{"name":"two"}],"limits":{"idle_timeout_ms":15000}}`,
		number, route("r1", "one", routeOne), route("r2", "two", routeTwo))
}

// put sends a new configuration to a random controller and repeats it there or
// elsewhere while its outcome is open.
func (o *operator) put(tries int) bool {
	o.mu.Lock()
	o.number += 1 + uint64(rand.IntN(3))
	number := o.number
	body := o.document(number)
	o.content[number] = body
	o.mu.Unlock()
	for range tries {
		c := o.w.controllers[rand.IntN(len(o.w.controllers))]
		status, _ := o.w.callAt(o.w.ctx, c, http.MethodPut, "/api/config", []byte(body))
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			o.acked = max(o.acked, number)
			o.mu.Unlock()
			return true
		case status >= 400 && status < 500:
			o.w.broken("valid configuration %d refused with %d", number, status)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// putInvalid sends a configuration that must be refused.
func (o *operator) putInvalid() {
	o.mu.Lock()
	body := o.document(o.number + 1000)
	o.mu.Unlock()
	c := o.w.controllers[rand.IntN(len(o.w.controllers))]
	if status, _ := o.w.callAt(o.w.ctx, c, http.MethodPut, "/api/config", []byte(body[:len(body)-rand.IntN(80)-2])); status == http.StatusOK {
		o.w.broken("a configuration that was cut short was acknowledged")
	}
}

// read reads at one controller; an answer must be as new as all that was
// acknowledged before, and as it was sent.
func (o *operator) read(c *process) bool {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	status, body := o.w.callAt(o.w.ctx, c, http.MethodGet, "/api/config", nil)
	if status != http.StatusOK {
		return false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		o.w.broken("the configuration read back is not one: %v", err)
		return false
	}
	o.mu.Lock()
	want := o.content[got.Version]
	o.mu.Unlock()
	if got.Version < acked {
		o.w.broken("%s answered with version %d after %d was acknowledged", c.name, got.Version, acked)
	}
	if string(body) != want {
		o.w.broken("%s answered version %d with other content", c.name, got.Version)
	}
	return true
}

// work sends and reads until the run ends.
func (o *operator) work() {
	for o.w.ctx.Err() == nil {
		switch rand.IntN(6) {
		case 0, 1:
			o.put(1 + rand.IntN(6))
		case 2:
			go o.put(3) // two at a time
			o.put(3)
		case 3:
			o.putInvalid()
		default:
			o.read(o.w.controllers[rand.IntN(len(o.w.controllers))])
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
}
