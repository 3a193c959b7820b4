package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "heatherport"

// Values of the label outcome.
const (
	outcomeForwarded = "forwarded"
	outcomeRelayed   = "relayed"
	outcomeDropped   = "dropped"
)

// noCause is the label value of packets that were neither dropped nor refused.
const noCause = "ok"

// collector turns snapshots into metrics.
type collector struct {
	snapshot func() Snapshot
	descs    []*prometheus.Desc

	received, receivedBytes                              *prometheus.Desc
	packets                                              *prometheus.Desc
	forwardedBytes                                       *prometheus.Desc
	relayed, relayedBytes                                *prometheus.Desc
	hints, hintBytes                                     *prometheus.Desc
	refreshes, refreshBytes                              *prometheus.Desc
	refusals, refusalsLimited                            *prometheus.Desc
	overflows, readErrors                                *prometheus.Desc
	connectionsOpen, connectionsOwned, connectionsOpened *prometheus.Desc
	exceptions, connectionsCapacity                      *prometheus.Desc
	upstreamOpen, upstreamEligible                       *prometheus.Desc
	controlMessages, controlBytes                        *prometheus.Desc
	controlDropped                                       *prometheus.Desc
	versionIndex, sheetNumber, term                      *prometheus.Desc
	liveVMs, drains                                      *prometheus.Desc
	lease, cutOff                                        *prometheus.Desc
	leader, voter, ready                                 *prometheus.Desc
	requests, apiFailures                                *prometheus.Desc
	auditFailures                                        *prometheus.Desc
	certificateExpiry                                    *prometheus.Desc
}

// desc returns the descriptor of a metric and adds it to c.
func (c *collector) desc(name, help string, labels ...string) *prometheus.Desc {
	d := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	c.descs = append(c.descs, d)
	return d
}

func newCollector(snapshot func() Snapshot) *collector {
	c := &collector{snapshot: snapshot}
	c.received = c.desc("received_packets_total", "Packets received from the fabric.")
	c.receivedBytes = c.desc("received_bytes_total", "Bytes of packets received from the fabric.")
	c.packets = c.desc("packets_total", "Packets by outcome and, if dropped or refused, the name of the result code.", "outcome", "cause")
	c.forwardedBytes = c.desc("forwarded_bytes_total", "Bytes of packets forwarded to upstreams.")
	c.relayed = c.desc("relay_packets_total", "Packets relayed between VMs.", "direction")
	c.relayedBytes = c.desc("relay_bytes_total", "Bytes of packets relayed between VMs.", "direction")
	c.hints = c.desc("hints_total", "Hints exchanged between VMs.", "direction")
	c.hintBytes = c.desc("hint_bytes_total", "Bytes of hints exchanged between VMs.", "direction")
	c.refreshes = c.desc("refreshes_total", "Refreshes of connection entries exchanged between VMs.", "direction")
	c.refreshBytes = c.desc("refresh_bytes_total", "Bytes of refreshes of connection entries exchanged between VMs.", "direction")
	c.refusals = c.desc("refusals_total", "Refusals sent to callers.")
	c.refusalsLimited = c.desc("refusals_limited_total", "Refusals suppressed by a rate limit.")
	c.overflows = c.desc("socket_overflows_total", "Packets that the operating system dropped because a receive buffer was full.")
	c.readErrors = c.desc("socket_read_errors_total", "Failed reads from a traffic socket.")
	c.connectionsOpen = c.desc("connections_open", "Entries in the connection table.")
	c.connectionsOwned = c.desc("connections_owned", "Entries that this VM owns.")
	c.connectionsOpened = c.desc("connections_opened_total", "Connections for which this VM chose the upstream.")
	c.exceptions = c.desc("connection_exceptions", "Exceptions that the VM holds for connections without an entry in its table.")
	c.connectionsCapacity = c.desc("connections_capacity", "Entries that the connection table can hold.")
	c.upstreamOpen = c.desc("upstream_connections_open", "Connections to an upstream that this VM owns.", "service", "upstream")
	c.upstreamEligible = c.desc("upstream_eligible", "1 if the upstream receives new connections.", "service", "upstream")
	c.controlMessages = c.desc("control_messages_total", "Control messages by kind.", "kind", "direction")
	c.controlBytes = c.desc("control_bytes_total", "Bytes of control messages by kind.", "kind", "direction")
	c.controlDropped = c.desc("control_messages_dropped_total", "Control messages dropped because a queue was full.")
	c.versionIndex = c.desc("version_index", "Log index of the version in force on this VM.")
	c.sheetNumber = c.desc("sheet_number", "Number of the sheet in force on this VM.")
	c.term = c.desc("term", "Highest Raft term known to this VM.")
	c.liveVMs = c.desc("live_vms", "Members that this VM knows.")
	c.drains = c.desc("drains_open", "Drains that are still open.")
	c.lease = c.desc("lease_live", "1 while the membership lease of this VM runs.")
	c.cutOff = c.desc("cut_off", "1 while no leader renews the membership lease of this VM.")
	c.leader = c.desc("leader", "1 while this VM is the leader.")
	c.voter = c.desc("voter", "1 while this VM has a working replica of the log.")
	c.ready = c.desc("ready", "1 while this VM is ready for traffic.")
	c.requests = c.desc("api_requests_total", "Requests to the API by route and name of the result code.", "route", "code")
	c.apiFailures = c.desc("api_connection_failures_total", "Connections to the API that failed before a request, most of them in the TLS handshake.")
	c.auditFailures = c.desc("audit_failures_total", "Audit records that could not be stored.")
	c.certificateExpiry = c.desc("certificate_expiry_timestamp_seconds", "Unix time at which the certificate of this VM expires.")
	return c
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.snapshot()
	e := emitter{ch}
	c.collectTraffic(e, &s)
	c.collectRelays(e, &s)
	c.collectConnections(e, &s)
	c.collectControl(e, &s)
	c.collectProcess(e, &s)
}

func (c *collector) collectTraffic(e emitter, s *Snapshot) {
	e.counter(c.received, s.Received.Count)
	e.counter(c.receivedBytes, s.Received.Bytes)
	e.counter(c.packets, s.Forwarded.Count, outcomeForwarded, noCause)
	e.counter(c.packets, s.RelaySent.Count, outcomeRelayed, noCause)
	for _, cause := range s.Causes {
		e.counter(c.packets, cause.Packets, outcomeDropped, cause.Code.Name())
	}
	e.counter(c.forwardedBytes, s.Forwarded.Bytes)
	e.counter(c.refusals, s.Refusals)
	e.counter(c.refusalsLimited, s.RefusalsLimited)
	e.counter(c.overflows, s.Overflows)
	e.counter(c.readErrors, s.ReadErrors)
}

func (c *collector) collectRelays(e emitter, s *Snapshot) {
	e.volume(c.relayed, c.relayedBytes, s.RelaySent, Sent)
	e.volume(c.relayed, c.relayedBytes, s.RelayReceived, Received)
	e.volume(c.hints, c.hintBytes, s.HintsSent, Sent)
	e.volume(c.hints, c.hintBytes, s.HintsReceived, Received)
	e.volume(c.refreshes, c.refreshBytes, s.RefreshesSent, Sent)
	e.volume(c.refreshes, c.refreshBytes, s.RefreshesReceived, Received)
}

func (c *collector) collectConnections(e emitter, s *Snapshot) {
	e.gauge(c.connectionsOpen, float64(s.OpenConnections))
	e.gauge(c.connectionsOwned, float64(s.OwnedConnections))
	e.counter(c.connectionsOpened, s.OpenedConnections)
	e.gauge(c.exceptions, float64(s.ReplicatedExceptions))
	e.gauge(c.connectionsCapacity, float64(s.ConnectionCapacity))
	for _, u := range s.Upstreams {
		e.gauge(c.upstreamOpen, float64(u.OpenConnections), u.Service, u.Upstream)
		e.flag(c.upstreamEligible, u.Eligible, u.Service, u.Upstream)
	}
}

func (c *collector) collectControl(e emitter, s *Snapshot) {
	for _, v := range s.Control {
		e.counter(c.controlMessages, v.Count, v.Kind, string(v.Direction))
		e.counter(c.controlBytes, v.Bytes, v.Kind, string(v.Direction))
	}
	e.counter(c.controlDropped, s.ControlDropped)
	e.gauge(c.versionIndex, float64(s.VersionIndex))
	e.gauge(c.sheetNumber, float64(s.SheetNumber))
	e.gauge(c.term, float64(s.Term))
	e.gauge(c.liveVMs, float64(s.LiveVMs))
	e.gauge(c.drains, float64(s.OpenDrains))
	e.flag(c.lease, s.LeaseLive)
	e.flag(c.cutOff, s.CutOff)
	e.flag(c.leader, s.Leader)
	e.flag(c.voter, s.Voter)
	e.flag(c.ready, s.Ready)
}

func (c *collector) collectProcess(e emitter, s *Snapshot) {
	for _, r := range s.Requests {
		e.counter(c.requests, r.Count, r.Route, r.Code.Name())
	}
	e.counter(c.apiFailures, s.APIFailures)
	e.counter(c.auditFailures, s.AuditFailures)
	if !s.CertificateNotAfter.IsZero() {
		e.gauge(c.certificateExpiry, float64(s.CertificateNotAfter.Unix()))
	}
}

// emitter sends constant metrics.
type emitter struct {
	ch chan<- prometheus.Metric
}

func (e emitter) counter(d *prometheus.Desc, v uint64, labels ...string) {
	e.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func (e emitter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	e.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (e emitter) volume(count, bytes *prometheus.Desc, v Volume, d Direction) {
	e.counter(count, v.Count, string(d))
	e.counter(bytes, v.Bytes, string(d))
}

func (e emitter) flag(d *prometheus.Desc, v bool, labels ...string) {
	var f float64
	if v {
		f = 1
	}
	e.gauge(d, f, labels...)
}

// NewRegistry returns a registry with the metrics of snapshot, the Go runtime
// and the process.
func NewRegistry(snapshot func() Snapshot) *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		newCollector(snapshot),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}
