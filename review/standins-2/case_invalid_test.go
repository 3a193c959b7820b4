package standins

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"time"
)

// playInvalid: the operator sends a configuration with a route that names an unknown service
// among its backends, beside a known service.
func playInvalid(w *world, trouble bool) (bool, error) {
	dst := netip.AddrPortFrom(w.ip(200), 8080)
	services := []service{newService("permits")}
	op, _, err := newFleet(w, 1, services, newRoute("check", dst, "permits"))
	if err != nil {
		return false, err
	}
	r := newRoute("check", dst, "permits")
	if trouble {
		r.Backends = []target{{Service: "nobody", Weight: 10}}
	}
	body := newConfiguration(7, services, r).encode()
	w.rec.log("the configuration is %s", body)
	status, _, _ := op.call(0, "PUT", "/api/config", body)
	if status == 0 {
		return false, errors.New("the configuration got no answer")
	}
	time.Sleep(4 * time.Second)
	isHeld := false
	for i := range w.cores {
		code, answer := op.once(i, "GET", "/api/config", nil)
		var c configuration
		err := json.Unmarshal(answer, &c)
		isHeld = isHeld || code == 200 && err == nil && c.Version == 7 && bytes.Contains(answer, []byte("nobody"))
		w.rec.log("%s answers a read %d with version %d", w.cores[i].name, code, c.Version)
	}
	return trouble && (status == 200 || isHeld), nil
}
