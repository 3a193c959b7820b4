package standins

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// caller calls the nodes that serve control: the operator and the endpoints. It keeps its
// connections open, moves on after a second without an answer, and sends the same again.
type caller struct {
	w    *world
	name string
	http *http.Client
	// addr returns the address under which the caller knows a core machine.
	addr func(i int) string
}

func newCaller(w *world, name string) *caller {
	return &caller{w: w, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, addr: func(i int) string {
		return netip.AddrPortFrom(w.cores[i].ip, controlPort).String()
	}}
}

// once makes one attempt at core machine i. status is 0 without an answer.
func (c *caller) once(i int, method, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr(i)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// call sends the same call to one node after the other, beginning with first, until there
// is a clear answer.
func (c *caller) call(first int, method, path string, body []byte) (status int, answer []byte, acked time.Time) {
	wait := 50 * time.Millisecond
	for i := range 40 {
		at := (first + i) % len(c.w.cores)
		c.w.rec.log("%s sends %s %s to %s", c.name, method, path, c.w.cores[at].name)
		status, answer = c.once(at, method, path, body)
		c.w.rec.log("%s: %s %s at %s is answered %d %.120s", c.name, method, path, c.w.cores[at].name, status, bytes.TrimSpace(answer))
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, answer, time.Now()
		}
		time.Sleep(wait)
		wait = min(2*wait, time.Second)
	}
	return status, answer, time.Now()
}

// route is a route of the configuration.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"path_prefix"`
	Kind     string   `json:"kind"`
	Timeout  int      `json:"timeout_ms"`
	Target   int      `json:"target_latency_ms"`
	Priority int      `json:"priority"`
	Service  string   `json:"service,omitempty"`
	Backends []target `json:"backends,omitempty"`
	Attempts int      `json:"max_attempts"`
}

type target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name      string   `json:"name"`
	Health    string   `json:"health_path"`
	MaxConns  int      `json:"max_conns"`
	Protocol  string   `json:"protocol"`
	TLS       bool     `json:"tls"`
	ColdStart *float64 `json:"cold_start_s,omitempty"`
	ColdPerS  *float64 `json:"cold_per_s,omitempty"`
}

type limits struct {
	Header        int `json:"max_header_bytes"`
	Body          int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"`
	IdleTimeout   int `json:"idle_timeout_ms"`
}

type configuration struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

func newConfiguration(version uint64, services []service, routes ...route) configuration {
	return configuration{version, routes, services, limits{16384, 262144, 3000, 15000}}
}

func (c configuration) encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // it holds only plain values
	}
	return b
}

func newService(name string) service {
	return service{Name: name, Health: "/health", MaxConns: 2000, Protocol: "h1"}
}

func newRoute(name string, at netip.AddrPort, serviceName string) route {
	return route{Name: name, Host: at.Addr().String(), Prefix: "/" + itoa(at.Port()) + "/", Kind: "safe", Timeout: 1500, Target: 250, Priority: 2, Service: serviceName, Attempts: 2}
}
