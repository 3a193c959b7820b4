// Package model emulates a fleet in virtual time, to say what it would do under a load
// or a fault, and to compare two ways of a decision.
//
// A run has one event queue and no goroutines. It is determined by its scenario and seed,
// so that runs of several seeds go in parallel, and two ways see the same requests.
// The decisions are those of the product: each balancer is an affinity.Engine with the
// packages of internal/load behind it. Callers, the fabric, links, upstreams and what
// controllers feed are emulated:
//
//   - Callers send copies of an opening packet after 200 and 600 ms and give up after
//     1.4 s. They begin another attempt at once when they are refused, and give up at
//     the deadline of the route.
//   - The fabric picks a balancer of the caller's failure domain for each connection.
//   - Links have a rate and a queue of a quarter of a second, beyond which packets are
//     lost.
//   - Upstreams have slots and a queue, serve requests for a time that is drawn from a
//     log-normal distribution, and reject what finds no place.
//   - Controllers gather and feed what balancers report, after the delays of the
//     scenario.
//
// The processors of VMs, retransmissions of established connections and the replicated
// log are not emulated.
package model
