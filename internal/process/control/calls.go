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

// Bounds of forwarded calls.
const (
	callTimeout  = 5 * time.Second        // from the request to the final answer
	resendAfter  = 600 * time.Millisecond // without an answer
	maxOpenCalls = 1024
)

// openCall is a call that this VM has taken from a client.
type openCall struct {
	call     call
	done     func(reply)
	deadline time.Duration
	nextSend time.Duration
	sends    int // sendings, each of which may have taken effect
}

// callTable holds the open calls of this VM.
type callTable struct {
	last uint64
	open []*openCall
	// retry sends a call that is due.
	retry func(*openCall)
}

// init gives call numbers that no earlier start of the VM has used, so that a
// late answer is not taken for that of another call.
func (t *callTable) init(first uint64, retry func(*openCall)) {
	t.last = first
	t.retry = retry
}

func (t *callTable) add(c call, deadline time.Duration, done func(reply)) (*openCall, error) {
	if len(t.open) >= maxOpenCalls {
		return nil, result.Errorf(result.Overloaded, "%d calls are open", len(t.open))
	}
	t.last++
	c.ID = t.last
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

// expire ends calls whose time is over and repeats those that wait.
func (t *callTable) expire(now time.Duration) {
	for _, o := range slices.Clone(t.open) {
		switch {
		case now >= o.deadline:
			t.finish(o, o.expired())
		case now >= o.nextSend:
			t.retry(o)
		}
	}
}

// expired returns the answer to a call that got none in time.
func (o *openCall) expired() reply {
	if o.sends > 0 && o.call.changes() {
		return reply{Code: result.OutcomeUnknown, Detail: "no answer from the leader; a resend is safe"}
	}
	return reply{Code: result.NoLeader, Detail: "no leader answered; nothing was changed"}
}

// changes reports whether c may change the replicated state.
func (c *call) changes() bool {
	return c.Submit != nil || c.Announce != nil || c.Voter != nil
}

// call has the leader serve a call and waits for its answer.
func (c *Controller) call(ctx context.Context, req call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	answer := make(chan reply, 1)
	err := c.post(ctx, func() {
		o, err := c.calls.add(req, c.now()+callTimeout, func(r reply) { answer <- r })
		if err != nil {
			answer <- failure(err)
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
	if req.changes() {
		return reply{}, result.Errorf(result.OutcomeUnknown, "the call was given up; a resend is safe")
	}
	return reply{}, result.Errorf(result.NoLeader, "the call was given up")
}

// sendCall serves the call here if this VM leads and sends it to the leader
// otherwise.
func (c *Controller) sendCall(o *openCall) {
	o.nextSend = c.now() + resendAfter
	if c.leader != nil {
		o.sends++
		c.serve(o.call, func(r reply) { c.answered(o, r) })
		return
	}
	to := c.leaderName()
	if to == "" || to == c.cfg.Name {
		c.giveUp(o)
		return
	}
	if c.cfg.Links.Send(to, link.KindForward, encode(o.call)) {
		o.sends++
	}
}

// giveUp ends a call at once when no leader has been known for so long that
// waiting for one is no use; the client is told when to come back.
func (c *Controller) giveUp(o *openCall) {
	if c.now()-c.leaderSeen > callTimeout {
		c.calls.finish(o, o.expired())
	}
}

// answered ends a call with the answer r, unless r says that nothing was done
// and that another attempt may succeed.
func (c *Controller) answered(o *openCall, r reply) {
	switch r.Code {
	case result.NoLeader, result.OutcomeUnknown, result.Overloaded:
		return // repeated until the deadline
	case result.SheetStale:
		if o.call.Submit != nil && o.resent() {
			r = reply{Code: result.OutcomeUnknown, Detail: "an earlier sending may have been accepted before a newer sheet: " + r.Detail}
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

// receiveReply takes the answer to a forwarded call.
func (c *Controller) receiveReply(m link.Message) {
	var r reply
	if !decode(m.Body, &r) {
		return
	}
	if o := c.calls.find(r.ID); o != nil {
		c.answered(o, r)
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

// read is a call that waits until the state is at least at index.
type read struct {
	context uint64
	index   uint64 // zero until the log has confirmed the read
	until   time.Duration
	done    func(ok bool)
}

// readTable holds the linearizable reads of the leader.
type readTable struct {
	last uint64
	open []read
}

func (t *readTable) add(until time.Duration, done func(bool)) uint64 {
	t.last++
	t.open = append(t.open, read{context: t.last, until: until, done: done})
	return t.last
}

// drop removes a read without an answer.
func (t *readTable) drop(context uint64) {
	t.open = slices.DeleteFunc(t.open, func(r read) bool { return r.context == context })
}

// ready notes the index of each confirmed read.
func (t *readTable) ready(states []raft.ReadState) {
	for _, s := range states {
		for i := range t.open {
			if t.open[i].context == s.Context {
				t.open[i].index = max(s.Index, 1)
			}
		}
	}
}

// serve ends the reads whose index is applied and those whose time is over.
func (t *readTable) serve(c *Controller) {
	now := c.now()
	var rest, served []read
	for _, r := range t.open {
		if now < r.until && (r.index == 0 || r.index > c.raftApplied) {
			rest = append(rest, r)
			continue
		}
		served = append(served, r)
	}
	t.open = rest
	for _, r := range served {
		r.done(r.index != 0 && r.index <= c.raftApplied)
	}
}
