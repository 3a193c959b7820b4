// Package soak runs balancers and controllers as processes of their own on one
// machine, injects faults from outside them, and checks what callers, upstreams
// and operators were promised. All of it stands in test files:
//
//	go test ./internal/soak -run Soak -soak.seeds 50 -soak.first 1
//
// Seeds that once failed are kept in regressions_test.go.
package soak
