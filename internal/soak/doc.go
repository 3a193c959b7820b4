// Package soak runs balancers and controllers as separate processes on one
// machine, injects faults from outside, and checks the guarantees given to
// callers, upstreams and operators. All code is in test files:
//
//	go test ./internal/soak -run Soak -soak.seeds 50 -soak.first 1
//
// Seeds that once failed are kept in regressions_test.go.
package soak
