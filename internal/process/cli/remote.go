package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"heatherport/internal/process/audit"
	"heatherport/internal/process/keys"
	"heatherport/internal/request/api"
	"heatherport/internal/result"
)

// client returns an API client for the addresses and certificate in r.
func (r *remote) client() (*api.Client, error) {
	addresses, err := r.addresses()
	if err != nil {
		return nil, err
	}
	if r.Keys == "" || r.Operator == "" {
		return nil, result.Errorf(result.BadArguments, "--keys and --operator are needed")
	}
	store, err := keys.Open(keys.Files{
		CA:          filepath.Join(r.Keys, keys.CAFile),
		Certificate: filepath.Join(r.Keys, keys.CertificateFile(r.Operator)),
		Key:         filepath.Join(r.Keys, keys.KeyFile(r.Operator)),
	})
	if err != nil {
		return nil, err
	}
	return api.NewClient(addresses, store.ClientTLS("")), nil
}

func (r *remote) addresses() ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, list := range r.To {
		for _, text := range strings.Split(list, ",") {
			a, err := parseAddress("--to", strings.TrimSpace(text))
			if err != nil {
				return nil, err
			}
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		return nil, result.Errorf(result.BadArguments, "--to is needed")
	}
	return out, nil
}

func parseAddress(name, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, result.Errorf(result.BadArguments, "%s: %q is not IP:PORT", name, text)
	}
	return a, nil
}

func (c *sheetSubmitCommand) run(ctx context.Context, e *env) error {
	b, err := readSheet(c.File)
	if err != nil {
		return err
	}
	// The sheet is also checked before it is sent, because a local check
	// reports each fault on a line of its own.
	if _, err := e.CheckSheet(b); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.SubmitSheet(ctx, b)
	if err != nil {
		return err
	}
	var waitErr error
	if c.Wait > 0 {
		wait, cancel := context.WithTimeout(ctx, c.Wait)
		defer cancel()
		out.Pending, waitErr = client.WaitInForce(wait, out.Index, api.DefaultPollInterval)
	}
	err = e.write(out, func(w io.Writer) { writeSubmitted(w, &out, c.Wait > 0 && waitErr == nil) })
	if err != nil {
		return err
	}
	return waitErr
}

func writeSubmitted(w io.Writer, r *api.SubmitResponse, inForce bool) {
	verb := "accepted"
	if r.Resent {
		verb = "was accepted before"
	}
	fmt.Fprintf(w, "sheet %d %s at index %d, digest %s\n", r.Number, verb, r.Index, r.Digest)
	switch {
	case inForce:
		fmt.Fprintln(w, "in force on all live VMs")
	case len(r.Pending) > 0:
		fmt.Fprintf(w, "not confirmed by %s\n", strings.Join(r.Pending, ", "))
	}
}

func (c *sheetShowCommand) run(ctx context.Context, e *env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.Sheet(ctx)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) {
		if c.CSV {
			fmt.Fprint(w, out.CSV)
			return
		}
		writePairs(w,
			[2]string{"number", formatNumber(out.Number)},
			[2]string{"digest", out.Digest.String()},
			[2]string{"index", formatNumber(out.Index)},
			[2]string{"operator", orDash(out.Operator)},
			[2]string{"accepted", formatTime(out.Accepted)},
		)
	})
}

func (c *statusCommand) run(ctx context.Context, e *env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) { writeStatus(w, &out) })
}

func (c *explainConnectionCommand) run(ctx context.Context, e *env) error {
	q, err := c.query()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.ExplainConnection(ctx, q)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) { writeConnection(w, &out) })
}

func (c *explainConnectionCommand) query() (api.ConnectionQuery, error) {
	q := api.ConnectionQuery{Protocol: c.Protocol}
	var err error
	if q.Caller, err = parseAddress("--caller", c.Caller); err != nil {
		return q, err
	}
	q.Service, err = parseAddress("--service", c.Service)
	return q, err
}

func (c *explainUpstreamCommand) run(ctx context.Context, e *env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.ExplainUpstream(ctx, api.UpstreamQuery{Name: c.Name})
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) { writeUpstream(w, &out) })
}

func (c *explainSheetCommand) run(ctx context.Context, e *env) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.ExplainSheet(ctx)
	if err != nil {
		return err
	}
	return e.write(out, func(w io.Writer) { writeSheetExplanation(w, &out) })
}

func (c *auditCommand) run(ctx context.Context, e *env) error {
	q, err := c.query(e.Now())
	if err != nil {
		return err
	}
	records, err := c.records(ctx, q)
	if err != nil {
		return err
	}
	return e.write(api.AuditResponse{Records: records}, func(w io.Writer) { writeAudit(w, records) })
}

func (c *auditCommand) records(ctx context.Context, q api.AuditQuery) ([]api.AuditRecord, error) {
	if c.File != "" {
		return audit.Read(c.File, q)
	}
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	out, err := client.Audit(ctx, q)
	return out.Records, err
}

func (c *auditCommand) query(now time.Time) (api.AuditQuery, error) {
	q := api.AuditQuery{Kind: api.AuditKind(c.Kind), Subject: c.Subject, Who: c.Who, Limit: c.Limit}
	if q.Kind != "" && !q.Kind.Valid() {
		return q, result.Errorf(result.BadArguments, "--kind: %q is unknown", c.Kind)
	}
	if c.Limit < 1 || c.Limit > api.MaxAuditLimit {
		return q, result.Errorf(result.BadArguments, "--limit: %d is not within 1 and %d", c.Limit, api.MaxAuditLimit)
	}
	if c.Last > 0 {
		q.Since = now.Add(-c.Last)
	}
	return q, nil
}
