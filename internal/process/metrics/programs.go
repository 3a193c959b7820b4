package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"heatherport/internal/result"
)

// latencyBuckets are in seconds. They range from the network delay within a
// failure domain to the deadline of a request. Each is 2 to 2.5 times the
// previous one.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// NewProgramRegistry returns a registry with the metrics of the Go runtime and
// the process, for a balancer or a controller.
func NewProgramRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// registrar creates and registers metrics.
type registrar struct{ *prometheus.Registry }

func (r registrar) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	r.MustRegister(c)
	return c
}

func (r registrar) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	r.MustRegister(g)
	return g
}

func (r registrar) histogram(name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
	r.MustRegister(h)
	return h
}

func (r registrar) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.MustRegister(v)
	return v
}

// Balancer holds the metrics of a balancer for connections with cookies.
type Balancer struct {
	Received            prometheus.Counter
	Forwarded           prometheus.Counter
	Waited              prometheus.Counter
	Placed              prometheus.Counter
	Copies              prometheus.Counter
	Suspicions          *prometheus.CounterVec // by cause
	FeedsLost           prometheus.Counter
	InvalidRecords      prometheus.Counter
	OmittedLogLines     prometheus.Counter
	OpenTime            prometheus.Histogram
	ViewTime            prometheus.Histogram
	AnswerTime          prometheus.Histogram
	Connections         prometheus.Gauge
	Permits             prometheus.Gauge
	PermitsUsed         prometheus.Gauge
	SlowUpstreams       prometheus.Gauge
	Spillover           prometheus.Gauge
	Queued              prometheus.Gauge
	ConfigurationNumber prometheus.Gauge
	Feeds               prometheus.Gauge
	Ready               prometheus.Gauge
	Evacuations         prometheus.Gauge
	EvacuatedOpen       prometheus.Gauge
	ColdUpstreams       prometheus.Gauge
	OwnedSlowStarts     prometheus.Gauge
	LinkUse             prometheus.Gauge
	PinsReported        prometheus.Counter
	PinsUsed            prometheus.Counter
	linkBytes           linkBytes

	dropped *prometheus.CounterVec
	refused *prometheus.CounterVec
}

// NewBalancer registers the metrics of a balancer.
func NewBalancer(registry *prometheus.Registry) *Balancer {
	r := registrar{registry}
	return &Balancer{
		Received:            r.counter("cookie_packets_received_total", "Packets received from the routers."),
		Waited:              r.counter("cookie_packets_waited_total", "Packets that waited for routes, for room at the upstreams, or as late openings."),
		Forwarded:           r.counter("cookie_packets_forwarded_total", "Packets forwarded to upstreams."),
		Placed:              r.counter("cookie_connections_placed_total", "Connections for which an upstream was chosen."),
		Copies:              r.counter("cookie_opening_copies_total", "Repeated opening packets."),
		Suspicions:          r.counterVec("cookie_suspicions_total", "Suspicions of upstreams by passive health checks, by cause.", "cause"),
		FeedsLost:           r.counter("feeds_lost_total", "Lost feeds from controllers."),
		InvalidRecords:      r.counter("invalid_records_total", "Records of upstreams from controllers that were skipped because they cannot be read or used."),
		PinsReported:        r.counter("cookie_pins_reported_total", "Connections whose upstream was told to the other balancers, because their opening packets may have reached several."),
		PinsUsed:            r.counter("cookie_pins_used_total", "Connections of other balancers that went to the upstream of their pin instead of that of their cookie."),
		OmittedLogLines:     r.counter("log_lines_left_out_total", "Log lines about connections omitted by the rate limit."),
		ViewTime:            r.histogram("view_seconds", "Time to build the view of routes and upstreams that decisions use."),
		OpenTime:            r.histogram("cookie_open_seconds", "Time from the first opening packet to the caller's first packet after opening."),
		AnswerTime:          r.histogram("cookie_answer_seconds", "Time from a request to the acknowledgement of its first answer bytes."),
		Connections:         r.gauge("cookie_connections", "Entries of the connection table."),
		Permits:             r.gauge("cookie_permits", "Connections that this balancer may have open to its share of the slots of all services."),
		SlowUpstreams:       r.gauge("cookie_slow_upstreams", "Upstreams that balancers report as slower than usual."),
		PermitsUsed:         r.gauge("cookie_permits_used", "Open connections that hold a permit."),
		Spillover:           r.gauge("cookie_spillover_connections", "Open connections to upstreams in the shares of other balancers."),
		Queued:              r.gauge("cookie_queued_attempts", "Connection attempts that wait for room at the upstreams."),
		ConfigurationNumber: r.gauge("configuration_number", "Number of the configuration in force."),
		Feeds:               r.gauge("feeds", "Feeds from controllers."),
		Ready:               r.gauge("ready", "1 while routers may send packets here."),
		Evacuations:         r.gauge("evacuations", "Failure domains that are evacuated."),
		EvacuatedOpen:       r.gauge("evacuated_connections", "Connections of this balancer to upstreams in evacuated failure domains."),
		ColdUpstreams:       r.gauge("cold_upstreams", "Upstreams in a slow start with a limit."),
		OwnedSlowStarts:     r.gauge("owned_slow_starts", "Cold upstreams to which this balancer alone opens connections."),
		dropped:             r.counterVec("cookie_packets_dropped_total", "Packets dropped, by the name of the result code.", "cause"),
		LinkUse:             r.gauge("link_use", "Part of the network link in use in the busier direction; 0 if its rate is not set."),
		linkBytes:           newLinkBytes(r.counterVec("cookie_link_bytes_total", "Bytes of datagrams of callers, without the overhead of frames, by direction and purpose.", "direction", "purpose")),
		refused:             r.counterVec("cookie_connections_refused_total", "Resets sent to callers, by the name of the result code.", "cause"),
	}
}

// Purpose is what a packet uses the link of a balancer for.
type Purpose int

// The purposes.
const (
	Openings Purpose = iota
	Data
	Acknowledgements // and ends of connections
	Refusals
	purposes
)

var purposeNames = [purposes]string{"openings", "data", "acknowledgements", "refusals"}

// linkBytes holds the counters of all directions and purposes, so that none is looked up
// for each packet.
type linkBytes map[Direction]*[purposes]prometheus.Counter

func newLinkBytes(v *prometheus.CounterVec) linkBytes {
	out := make(linkBytes)
	for _, d := range []Direction{Sent, Received} {
		out[d] = new([purposes]prometheus.Counter)
		for p, name := range purposeNames {
			out[d][p] = v.WithLabelValues(string(d), name)
		}
	}
	return out
}

// LinkBytes counts the bytes of a datagram of callers.
func (b *Balancer) LinkBytes(d Direction, p Purpose, bytes int) {
	b.linkBytes[d][p].Add(float64(bytes))
}

// Dropped counts a packet that was dropped because of code.
func (b *Balancer) Dropped(code result.Code) { b.dropped.WithLabelValues(code.Name()).Inc() }

// Refused counts a reset that was sent because of code.
func (b *Balancer) Refused(code result.Code) { b.refused.WithLabelValues(code.Name()).Inc() }

// Controller holds the metrics of a controller.
type Controller struct {
	SubmitTime          prometheus.Histogram
	ReadTime            prometheus.Histogram
	LogStepTime         prometheus.Histogram
	LeaderChanges       prometheus.Counter
	LogFailures         prometheus.Counter
	UnknownMessages     prometheus.Counter
	InvalidRecords      prometheus.Counter
	SentBytes           *prometheus.CounterVec // by kind of message
	FeatureLevel        prometheus.Gauge
	LinksLost           prometheus.Counter
	Subscribers         prometheus.Gauge
	FeedUpdates         prometheus.Counter
	Upstreams           prometheus.Gauge
	ConfigurationNumber prometheus.Gauge
	IsLeader            prometheus.Gauge
	Evacuations         prometheus.Gauge
	Forgotten           prometheus.Counter
	EndedAnnouncements  prometheus.Counter

	calls *prometheus.CounterVec
}

// NewController registers the metrics of a controller.
func NewController(registry *prometheus.Registry) *Controller {
	r := registrar{registry}
	return &Controller{
		SubmitTime:          r.histogram("submit_seconds", "Time until a submitted configuration was acknowledged or the attempt abandoned."),
		ReadTime:            r.histogram("read_seconds", "Time until a read of the configuration was answered or abandoned."),
		LogStepTime:         r.histogram("log_step_seconds", "Duration of a step of the replicated log, mainly disk syncs."),
		LeaderChanges:       r.counter("leader_changes_total", "Leader changes observed by this controller."),
		LogFailures:         r.counter("log_failures_total", "Disk failures that closed the log."),
		SentBytes:           r.counterVec("sent_bytes_total", "Bytes of messages sent to other controllers and to balancers, by kind.", "kind"),
		UnknownMessages:     r.counter("unknown_messages_total", "Messages of kinds that only newer builds know, which were ignored."),
		InvalidRecords:      r.counter("invalid_records_total", "Records of upstreams from other controllers or from disk that were skipped because they cannot be read or used."),
		Forgotten:           r.counter("upstreams_forgotten_total", "Upstreams that were forgotten because no controller heard of them for the lifetime of a connection."),
		EndedAnnouncements:  r.counter("ended_announcements_total", "Announcements of incarnations that have ended, which changed nothing."),
		FeatureLevel:        r.gauge("feature_level", "Feature level in force in the replicated log."),
		LinksLost:           r.counter("links_lost_total", "Lost links to other controllers."),
		FeedUpdates:         r.counter("feed_updates_encoded_total", "Feed updates encoded; one may be sent to many balancers."),
		Subscribers:         r.gauge("subscribers", "Balancers subscribed to this controller's feed."),
		Upstreams:           r.gauge("upstreams", "Known upstreams, including ended ones."),
		ConfigurationNumber: r.gauge("configuration_number", "Number of the configuration in force."),
		IsLeader:            r.gauge("leads", "1 while this controller is the leader."),
		Evacuations:         r.gauge("evacuations", "Failure domains that are evacuated."),
		calls:               r.counterVec("calls_total", "Calls by kind and the name of the result code.", "call", "result"),
	}
}

// Call counts a call by its result code.
func (c *Controller) Call(call string, err error) {
	c.calls.WithLabelValues(call, result.CodeOf(err).Name()).Inc()
}
