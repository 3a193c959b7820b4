package api

import (
	"context"
	"strings"
	"time"

	"heatherport/internal/result"
)

// DefaultPollInterval is the default interval of the status requests of
// WaitInForce.
const DefaultPollInterval = 200 * time.Millisecond

// WaitInForce polls the status until each live VM has applied the log up to
// index. If ctx ends first, it returns NotInForceYet and the VMs that have not
// confirmed. A permanent error ends the wait.
func (c *Client) WaitInForce(ctx context.Context, index uint64, poll time.Duration) ([]string, error) {
	var pending []string
	last := result.Errorf(result.NotReady, "no status yet")
	for {
		st, err := c.Status(ctx)
		switch {
		case err == nil:
			pending, last = st.Pending(index)
		case isPermanent(err):
			return pending, err
		case ctx.Err() == nil:
			last = err
		}
		if last == nil {
			return nil, nil
		}
		if !sleep(ctx, poll) {
			return pending, result.Wrapf(last, result.NotInForceYet, "accepted at index %d", index)
		}
	}
}

// isPermanent reports whether retries cannot succeed after err.
func isPermanent(err error) bool {
	c := result.CodeOf(err).Class()
	return c == result.ClassUsage || c == result.ClassSecurity
}

// Pending returns the live VMs that have not applied index. It returns an error
// if there are any or if the VM that responded has no current information.
func (s *StatusResponse) Pending(index uint64) ([]string, error) {
	var out []string
	for _, v := range s.VMs {
		if v.Live && v.AppliedIndex < index {
			out = append(out, v.Name)
		}
	}
	switch {
	case len(out) > 0:
		return out, result.Errorf(result.NotInForceYet, "not confirmed by %s", strings.Join(out, ", "))
	case s.Stale || !s.Majority:
		return nil, result.Errorf(result.NotInForceYet, "%s has no current status from a leader", s.VM)
	case s.Index < index:
		return []string{s.VM}, result.Errorf(result.NotInForceYet, "not confirmed by %s", s.VM)
	}
	return nil, nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
