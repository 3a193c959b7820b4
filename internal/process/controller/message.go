package controller

import (
	"net/netip"
	"time"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
	"heatherport/internal/version/routing"
)

// Kinds of the messages between processes. Builds of different releases run side by side:
// a number is never used for another message (docs/design/compatibility.md).
const (
	KindHello           stream.Kind = 1  // controller to controller: Hello
	KindRaft            stream.Kind = 2  // raft.Message of package raft
	KindRecords         stream.Kind = 3  // controller to controller: Records
	KindRecordsAck      stream.Kind = 4  // the reply: RecordsAck
	KindRenewals        stream.Kind = 5  // controller to controller: Renewals
	KindSubmit          stream.Kind = 6  // to the leader: Submit
	KindSubmitResult    stream.Kind = 7  // the reply: SubmitResult
	KindSubscribe       stream.Kind = 8  // balancer to controller: Subscribe
	KindFeedUpdate      stream.Kind = 9  // controller to balancer: FeedUpdate
	KindSuspicionReport stream.Kind = 10 // balancer to controller, and between controllers: SuspicionReport
	KindBalancers       stream.Kind = 11 // controller to controller: Balancers
	KindInvitation      stream.Kind = 12 // controller to balancer, in a datagram: Invitation
	KindFleet           stream.Kind = 13 // controller to controller: Fleet
	KindDigests         stream.Kind = 14 // controller to controller: Digests
	KindDiffering       stream.Kind = 15 // the reply: Differing
	KindNeeds           stream.Kind = 16 // balancer to controller, and between controllers: Needs
	KindSpeeds          stream.Kind = 17 // balancer to controller, and between controllers: Speeds
	KindPins            stream.Kind = 18 // balancer to controller, and between controllers: Pins
)

// kindNames are the labels of the kinds in metrics.
var kindNames = map[stream.Kind]string{
	KindHello: "hello", KindRaft: "log", KindRecords: "records", KindRecordsAck: "records_ack", KindRenewals: "renewals",
	KindSubmit: "submit", KindSubmitResult: "submit_result", KindFeedUpdate: "feed_update", KindSuspicionReport: "suspicions",
	KindBalancers: "balancers", KindFleet: "fleet", KindDigests: "digests", KindDiffering: "differing", KindNeeds: "needs", KindSpeeds: "speeds", KindPins: "pins",
}

// countSent counts the bytes of frames, without pings and the overhead of TCP.
func (c *Controller) countSent(kind stream.Kind, bytes int) {
	c.cfg.Metrics.SentBytes.WithLabelValues(kindNames[kind]).Add(float64(bytes))
}

// Member describes a controller to others.
type Member struct {
	ID     string         `cbor:"1,keyasint"` // member ID in the replicated log; a new disk has a new one
	Domain string         `cbor:"2,keyasint"`
	Link   netip.AddrPort `cbor:"3,keyasint"`
	API    netip.AddrPort `cbor:"4,keyasint"`
	// Level is the feature level that its build reads; zero for builds before levels.
	Level uint64 `cbor:"5,keyasint,omitempty"`
}

// Hello introduces a controller to another one.
type Hello struct {
	Self Member `cbor:"1,keyasint"`
	// Known holds the link addresses of known controllers. It is left out of most
	// messages.
	Known []netip.AddrPort `cbor:"2,keyasint,omitempty"`
}

// Balancers lists balancers that are fed by a controller.
type Balancers struct {
	Addresses []netip.Addr `cbor:"1,keyasint"`
}

// Invitation tells a balancer of a controller that can feed it.
type Invitation struct {
	Link   netip.AddrPort `cbor:"1,keyasint"`
	Domain string         `cbor:"2,keyasint"`
}

// Digests tells a controller what the sender's directory holds. It begins a link, so
// that only the records that differ are sent: after a power failure of all VMs each
// controller holds nearly all from its disk.
type Digests struct {
	Revision uint64   `cbor:"1,keyasint"` // of the directory, returned in Differing
	Digests  []uint64 `cbor:"2,keyasint"`
}

// Differing lists the buckets of the directory that differ from Digests.
type Differing struct {
	Revision uint64 `cbor:"1,keyasint"`
	Buckets  []int  `cbor:"2,keyasint"`
}

// Records are changes of the directory. The first Records message on a link
// carries what Differing asked for and all changes since the Digests message.
type Records struct {
	Number  uint64            `cbor:"1,keyasint"` // set by the sender, returned in RecordsAck
	Records directory.Records `cbor:"2,keyasint"`
}

// RecordsAck acknowledges the Records message with this number and all earlier
// ones.
type RecordsAck struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Renewals lists the tags of upstreams that announced themselves since the last
// such message.
type Renewals struct {
	Tags []uint32 `cbor:"1,keyasint"`
}

// Submit passes a document to the leader.
type Submit struct {
	Call uint64 `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"` // encoded register.Document
}

// SubmitResult is the result of a Submit. If Accepted is false, the outcome is
// unknown.
type SubmitResult struct {
	Call     uint64 `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint"`
}

// Subscribe starts the feed of a balancer. What the balancer holds already, from
// another controller, is not sent again.
type Subscribe struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Routes is the number of the table that the balancer holds, or zero.
	Routes uint64 `cbor:"3,keyasint,omitempty"`
	// Digests are those of its directory.
	Digests []uint64 `cbor:"4,keyasint,omitempty"`
}

// FeedUpdate carries the changes since the last update on the same connection.
// The first one carries the state that the Subscribe message does not show.
type FeedUpdate struct {
	// Confirmed reports that the controller has recently been in contact with a
	// leader, so that the state is as new as any that was acknowledged.
	Confirmed   bool              `cbor:"1,keyasint"`
	Routes      *routing.Delta    `cbor:"2,keyasint,omitempty"`
	Upstreams   directory.Records `cbor:"3,keyasint,omitempty"`
	Controllers []Member          `cbor:"4,keyasint,omitempty"`
	// SameRoutes reports, in the first update, that the table of the Subscribe
	// message is in force.
	SameRoutes bool `cbor:"5,keyasint,omitempty"`
	// Resumed reports that Upstreams holds only the records of DifferingBuckets,
	// and those that are lapsed or ejected.
	Resumed          bool  `cbor:"6,keyasint,omitempty"`
	DifferingBuckets []int `cbor:"7,keyasint,omitempty"`
	// Evacuations are set when they changed. A balancer ignores those with a lower
	// index than it holds, which come from a controller that is behind.
	Evacuations *Evacuations `cbor:"8,keyasint,omitempty"`
	// Fleet is set when it changed.
	Fleet *Fleet `cbor:"9,keyasint,omitempty"`
	// Needs is set when it changed.
	Needs *Needs `cbor:"10,keyasint,omitempty"`
	// Speeds is set when they changed.
	Speeds *Speeds `cbor:"11,keyasint,omitempty"`
	// Pins holds the pins since the last update, or in the first one all.
	Pins []Pin `cbor:"12,keyasint,omitempty"`
}

// Evacuations lists the failure domains that get no new connections.
type Evacuations struct {
	Index   uint64   `cbor:"1,keyasint"` // log index of the last change
	Domains []string `cbor:"2,keyasint,omitempty"`
	// Ended holds the log index of the end of evacuations that ended less than a slow
	// start ago, by domain. Upstreams there may be in a slow start that they have not
	// announced yet.
	Ended map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// SuspicionReport lists the tags of upstreams that a balancer suspects of not
// answering.
type SuspicionReport struct {
	// Balancer is the name of the balancer. It is set when a controller passes
	// the report on.
	Balancer string   `cbor:"1,keyasint,omitempty"`
	Tags     []uint32 `cbor:"2,keyasint"`
	// AgesMillis holds the age of each suspicion. If it is empty, they are new.
	AgesMillis []uint32 `cbor:"3,keyasint,omitempty"`
}

// age returns the age of the suspicion with an index.
func (r *SuspicionReport) age(i int) time.Duration {
	if i >= len(r.AgesMillis) {
		return 0
	}
	return time.Duration(r.AgesMillis[i]) * time.Millisecond
}

// suspicionReports returns the messages that pass suspicions on, one for each
// balancer.
func suspicionReports(now time.Duration, suspicions []directory.Suspicion) map[string]*SuspicionReport {
	out := make(map[string]*SuspicionReport)
	for _, s := range suspicions {
		r := out[s.Balancer]
		if r == nil {
			r = &SuspicionReport{Balancer: s.Balancer}
			out[s.Balancer] = r
		}
		r.Tags = append(r.Tags, s.Tag)
		r.AgesMillis = append(r.AgesMillis, uint32((now - s.At).Milliseconds()))
	}
	return out
}
