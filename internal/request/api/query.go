package api

import (
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherport/internal/result"
)

// The subjects of an explanation.
const (
	subjectConnection = "connection"
	subjectUpstream   = "upstream"
	subjectSheet      = "sheet"
)

// query parses the parameters of a URL and collects their faults.
type query struct {
	values url.Values
	known  []string
	faults []string
}

func newQuery(r *http.Request) *query { return &query{values: r.URL.Query()} }

func noQuery(r *http.Request) error { return newQuery(r).err() }

func (q *query) addFault(name, detail string) {
	q.faults = append(q.faults, name+": "+detail)
}

func (q *query) get(name string) string {
	q.known = append(q.known, name)
	return q.values.Get(name)
}

func (q *query) required(name string) string {
	v := q.get(name)
	if v == "" {
		q.addFault(name, "missing")
	}
	return v
}

func (q *query) addrPort(name string) netip.AddrPort {
	v := q.required(name)
	if v == "" {
		return netip.AddrPort{}
	}
	ap, err := netip.ParseAddrPort(v)
	if err != nil {
		q.addFault(name, "not IP:PORT")
	}
	return ap
}

func (q *query) time(name string) time.Time {
	v := q.get(name)
	if v == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		q.addFault(name, "not a time such as 2006-01-02T15:04:05Z")
	}
	return t
}

func (q *query) connection() ConnectionQuery {
	c := ConnectionQuery{
		Caller:   q.addrPort("caller"),
		Service:  q.addrPort("service"),
		Protocol: q.required("protocol"),
	}
	if c.Protocol != "" && c.Protocol != "tcp" && c.Protocol != "udp" {
		q.addFault("protocol", "neither tcp nor udp")
	}
	return c
}

func (q *query) audit() AuditQuery {
	a := AuditQuery{
		Since:   q.time("since"),
		Until:   q.time("until"),
		Kind:    AuditKind(q.get("kind")),
		Subject: q.get("subject"),
		Who:     q.get("who"),
		Limit:   DefaultAuditLimit,
	}
	if a.Kind != "" && !a.Kind.Valid() {
		q.addFault("kind", "unknown")
	}
	if v := q.get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > MaxAuditLimit {
			q.addFault("limit", "not a number up to "+strconv.Itoa(MaxAuditLimit))
		}
		a.Limit = n
	}
	return a
}

// err returns BadArguments if there are faults or unknown or repeated parameters.
func (q *query) err() error {
	for name, values := range q.values {
		switch {
		case !slices.Contains(q.known, name):
			q.addFault(name, "unknown parameter")
		case len(values) > 1:
			q.addFault(name, "repeated")
		}
	}
	if len(q.faults) == 0 {
		return nil
	}
	slices.Sort(q.faults)
	return result.Errorf(result.BadArguments, "%s", strings.Join(q.faults, "; "))
}

// encode returns the URL parameters of q.
func (q ConnectionQuery) encode() url.Values {
	return url.Values{
		"subject":  {subjectConnection},
		"caller":   {q.Caller.String()},
		"service":  {q.Service.String()},
		"protocol": {q.Protocol},
	}
}

// encode returns the URL parameters of q.
func (q UpstreamQuery) encode() url.Values {
	return url.Values{"subject": {subjectUpstream}, "name": {q.Name}}
}

// encode returns the URL parameters of q.
func (q AuditQuery) encode() url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	if !q.Since.IsZero() {
		set("since", q.Since.UTC().Format(time.RFC3339))
	}
	if !q.Until.IsZero() {
		set("until", q.Until.UTC().Format(time.RFC3339))
	}
	set("kind", string(q.Kind))
	set("subject", q.Subject)
	set("who", q.Who)
	if q.Limit != 0 {
		set("limit", strconv.Itoa(q.Limit))
	}
	return v
}
