package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"heatherport/internal/process/link"
	"heatherport/internal/result"
	"heatherport/internal/version/raft"
)

// Limits for calls that are served by the leader.
const (
	callTimeout    = 5 * time.Second        // until the final answer
	resendInterval = 600 * time.Millisecond // while there is no answer
	maxOpenCalls   = 1024
)

// openCall is a call that this VM accepted from a client and has not answered.
type openCall struct {
	call     call
	done     func(reply)
	deadline time.Duration
	nextSend time.Duration
	sends    int // times sent; each may have taken effect
}

// callTable holds the open calls of this VM.
type callTable struct {
	lastID uint64
	open   []*openCall
	// retry sends a call again.
	retry func(*openCall)
}

// init sets the ID that precedes the ID of the first call. It must exceed the IDs
// that earlier processes of this VM used, so that a late answer is not matched to
// another call.
func (t *callTable) init(lastID uint64, retry func(*openCall)) {
	t.lastID = lastID
	t.retry = retry
}

func (t *callTable) add(c call, deadline time.Duration, done func(reply)) (*openCall, error) {
	if len(t.open) >= maxOpenCalls {
		return nil, result.Errorf(result.Overloaded, "%d calls are open", len(t.open))
	}
	t.lastID++
	c.ID = t.lastID
	o := &openCall{call: c, done: done, deadline: deadline}
	t.open = append(t.open, o)
	return o, nil
}

func (t *callTable) find(id uint64) *openCall {
	i := slices.IndexFunc(t.open, func(o *openCall) bool { return o.call.ID == id })
	if i < 0 {
		return nil
	}
	return t.open[i]
}

func (t *callTable) finish(o *openCall, r reply) {
	i := slices.Index(t.open, o)
	if i < 0 {
		return
	}
	t.open = slices.Delete(t.open, i, i+1)
	o.done(r)
}

// expire finishes calls past their deadline and resends those that are due.
func (t *callTable) expire(now time.Duration) {
	for _, o := range slices.Clone(t.open) {
		switch {
		case now >= o.deadline:
			t.finish(o, o.timeoutReply())
		case now >= o.nextSend:
			t.retry(o)
		}
	}
}

// timeoutReply returns the reply to a call that got no answer from a leader in
// time.
func (o *openCall) timeoutReply() reply {
	if o.sends > 0 && o.call.mutating() {
		return reply{Code: result.OutcomeUnknown, Detail: "the leader did not answer in time; a resend is safe"}
	}
	return reply{Code: result.NoLeader, Detail: "no leader answered; nothing was changed"}
}

// mutating reports whether c may change the replicated state.
func (c *call) mutating() bool {
	return c.Submit != nil || c.Announce != nil || c.Voter != nil
}

// call sends req to the leader and waits for the reply.
func (c *Controller) call(ctx context.Context, req call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	answer := make(chan reply, 1)
	err := c.post(ctx, func() {
		o, err := c.calls.add(req, c.now()+callTimeout, func(r reply) { answer <- r })
		if err != nil {
			answer <- errorReply(err)
			return
		}
		c.sendCall(o)
	})
	if err != nil {
		return reply{}, err
	}
	select {
	case r := <-answer:
		return r, r.err()
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	if req.mutating() {
		return reply{}, result.Errorf(result.OutcomeUnknown, "the call was abandoned before an answer; a resend is safe")
	}
	return reply{}, result.Errorf(result.NoLeader, "the call was abandoned before an answer")
}

// sendCall serves the call locally if this VM leads and forwards it to the
// leader otherwise.
func (c *Controller) sendCall(o *openCall) {
	o.nextSend = c.now() + resendInterval
	if c.leader != nil {
		o.sends++
		c.serve(o.call, func(r reply) { c.handleReply(o, r) })
		return
	}
	to := c.leaderName()
	if to == "" || to == c.cfg.Name {
		c.failWithoutLeader(o)
		return
	}
	if c.cfg.Links.Send(to, link.KindForward, encode(o.call)) {
		o.sends++
	}
}

// failWithoutLeader finishes a call without further waiting when no leader has
// been known for longer than callTimeout. The reply tells the client when to
// retry.
func (c *Controller) failWithoutLeader(o *openCall) {
	if c.now()-c.leaderLastKnown > callTimeout {
		c.calls.finish(o, o.timeoutReply())
	}
}

// handleReply finishes a call with the reply r, unless another attempt may still
// succeed or settle the outcome.
func (c *Controller) handleReply(o *openCall, r reply) {
	switch r.Code {
	case result.NoLeader, result.OutcomeUnknown, result.Overloaded:
		return // resent until the deadline
	case result.SheetStale:
		if o.call.Submit != nil && o.resent() {
			r = reply{Code: result.OutcomeUnknown, Detail: "an earlier attempt may have been accepted before a newer sheet: " + r.Detail}
		}
	}
	c.calls.finish(o, r)
}

// resent reports whether o was sent more than once.
func (o *openCall) resent() bool { return o.sends > 1 }

// receiveCall serves a call that another VM forwarded.
func (c *Controller) receiveCall(m link.Message) {
	var req call
	if !decode(m.Body, &req) {
		return
	}
	c.serve(req, func(r reply) {
		r.ID = req.ID
		c.cfg.Links.Send(m.From, link.KindForwardReply, encode(r))
	})
}

// receiveReply handles the reply to a forwarded call.
func (c *Controller) receiveReply(m link.Message) {
	var r reply
	if !decode(m.Body, &r) {
		return
	}
	if o := c.calls.find(r.ID); o != nil {
		c.handleReply(o, r)
	}
}

// detailOf returns the text of err without its code.
func detailOf(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// read is a linearizable read that waits until the log is applied up to index.
type read struct {
	context  uint64
	index    uint64 // zero until the read index is confirmed
	deadline time.Duration
	done     func(ok bool)
}

// readTable holds the pending linearizable reads of the leader.
type readTable struct {
	lastContext uint64
	open        []read
}

func (t *readTable) add(deadline time.Duration, done func(bool)) uint64 {
	t.lastContext++
	t.open = append(t.open, read{context: t.lastContext, deadline: deadline, done: done})
	return t.lastContext
}

// remove deletes a read without calling done.
func (t *readTable) remove(context uint64) {
	t.open = slices.DeleteFunc(t.open, func(r read) bool { return r.context == context })
}

// confirm stores the read index of each confirmed read.
func (t *readTable) confirm(states []raft.ReadState) {
	for _, s := range states {
		for i := range t.open {
			if t.open[i].context == s.Context {
				t.open[i].index = max(s.Index, 1)
			}
		}
	}
}

// complete finishes the reads whose index is applied and those past their
// deadline.
func (t *readTable) complete(c *Controller) {
	now := c.now()
	var remaining, completed []read
	for _, r := range t.open {
		if now < r.deadline && (r.index == 0 || r.index > c.raftApplied) {
			remaining = append(remaining, r)
			continue
		}
		completed = append(completed, r)
	}
	t.open = remaining
	for _, r := range completed {
		r.done(r.index != 0 && r.index <= c.raftApplied)
	}
}
