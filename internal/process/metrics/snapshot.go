// Package metrics exposes metrics and health checks over plain HTTP. Traffic
// goroutines keep their own counters, and a collector reads a snapshot of them
// for each scrape.
package metrics

import (
	"time"

	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// Volume counts packets or messages and their bytes.
type Volume struct {
	Count uint64
	Bytes uint64
}

// CauseCount counts the packets dropped or refused with one result code.
type CauseCount struct {
	Code    result.Code
	Packets uint64
}

// Direction is the direction of packets and messages.
type Direction string

// The directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// ControlVolume counts the control messages of one kind in one direction.
type ControlVolume struct {
	Kind      string
	Direction Direction
	Volume
}

// UpstreamGauge holds the gauges of one upstream on this VM.
type UpstreamGauge struct {
	Service         string
	Upstream        string
	OpenConnections uint64 // open connections that the VM owns
	Eligible        bool
}

// Snapshot holds all values of one scrape. Counters never decrease.
type Snapshot struct {
	// Traffic.
	Received          Volume       // packets from the fabric
	Forwarded         Volume       // packets to upstreams
	RelaySent         Volume       // packets to other VMs
	RelayReceived     Volume       // packets from other VMs
	HintsSent         Volume       // hints to other VMs
	HintsReceived     Volume       // hints from other VMs
	RefreshesSent     Volume       // refreshes of connection entries to other VMs
	RefreshesReceived Volume       // refreshes of connection entries from other VMs
	Refusals          uint64       // refusals sent to callers
	RefusalsLimited   uint64       // refusals suppressed by a rate limit
	Overflows         uint64       // packets that the operating system dropped before they were read
	ReadErrors        uint64       // failed reads from a traffic socket
	Causes            []CauseCount // packets dropped or refused
	ControlDropped    uint64       // control messages dropped because a queue was full

	// Connections.
	OpenConnections      uint64 // entries in the table
	OwnedConnections     uint64 // entries that the VM owns
	OpenedConnections    uint64 // connections for which the VM chose the upstream since the start
	ReplicatedExceptions uint64 // exceptions of connections without an entry in the table
	ConnectionCapacity   uint64 // entries that the table can hold
	Upstreams            []UpstreamGauge

	// Control state.
	Control      []ControlVolume
	VersionIndex uint64
	SheetNumber  uint64
	Term         uint64
	LiveVMs      int
	OpenDrains   int
	LeaseLive    bool
	CutOff       bool
	Leader       bool
	Voter        bool
	Ready        bool

	// Process.
	Requests            []api.RequestCount // requests to the API
	APIFailures         uint64             // connections to the API that failed before a request
	AuditFailures       uint64
	CertificateNotAfter time.Time // zero if there is no certificate
}
