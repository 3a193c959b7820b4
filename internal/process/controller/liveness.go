package controller

import (
	"math"
	"time"

	"heatherport/internal/process/stream"
	"heatherport/internal/version/directory"
)

// endedRetention is the time for which ended upstreams stay known. It exceeds the 100 s for
// which TCP retransmits the bytes of an announcement whose sender has given it up. It is no
// longer than that needs, because an upstream that starts again with an earlier clock is taken
// for its ended predecessor.
const endedRetention = 3 * time.Minute

// maxForgottenNames bounds the upstreams that a log line names. A controller that is cut off
// forgets all at about the same time.
const maxForgottenNames = 16

// restoreUpstreams takes the upstreams that an earlier process saved.
func (c *Controller) restoreUpstreams() {
	records, age := c.upstreams.load()
	for _, r := range records {
		if !c.isUsable(&r, upstreamsFile) {
			continue
		}
		r.SilentMillis = uint32(min(int64(r.SilentMillis)+age.Milliseconds(), math.MaxUint32))
		c.directory.Restore(c.now(), r)
	}
	if len(records) > 0 {
		c.log.Info("saved upstreams read", "records", len(records), "age", age.String(), "known", c.directory.Len())
	}
}

// isUsable reports whether a record from another controller or from disk can be read and
// used. Another one names no upstream, and the other records do not depend on it.
func (c *Controller) isUsable(r *directory.Record, source string) bool {
	err := r.Check()
	if err != nil {
		c.cfg.Metrics.InvalidRecords.Inc()
		c.log.Warn("invalid record skipped", "source", source, "error", err)
	}
	return err == nil
}

// noteEndedAnnouncement records an announcement of an incarnation that has ended or has a
// successor. It is acknowledged and changes nothing: it may have been delayed. One that comes
// again and again is of an upstream that lives although it withdrew, whose address another one
// took, or whose clock was set back before it started.
func (c *Controller) noteEndedAnnouncement(r *directory.Record) {
	e := c.directory.Get(r.ID)
	if e == nil || r.StartMillis > e.StartMillis || r.StartMillis == e.StartMillis && e.State != directory.Gone {
		return
	}
	c.cfg.Metrics.EndedAnnouncements.Inc()
	if c.endedLog.Allow(time.Now()) {
		c.endedLog.Info("announcement of an ended upstream", "upstream", r.ID, "born", r.StartMillis, "seq", r.Seq, "known_born", e.StartMillis, "state", e.State.String())
	}
}

func (c *Controller) renew(conn *stream.Conn, r Renewals) {
	if !c.isDelayedByStall(conn) {
		c.directory.Renew(c.now(), r.Tags)
	}
}

// isDelayedByStall reports whether a message about upstreams waited unread while this process stood
// still, and then closes its connection, which both ends have to set up again from what they
// hold. The message may be older than what all others have forgotten since.
func (c *Controller) isDelayedByStall(conn *stream.Conn) bool {
	if c.stall.IsOver(c.clock()) || conn.OpenedAt().After(c.stallEnded) && !c.stallEnded.IsZero() {
		return false
	}
	c.log.Info("link closed after a stall", "peer", conn.RemoteAddr())
	conn.Close()
	return true
}

// noteStall accounts for a time in which this process stood still or its VM was suspended.
func (c *Controller) noteStall(now time.Duration) {
	gap := now - c.lastTick
	if gap > stallLimit {
		c.directory.Excuse(gap)
	}
	stalled := c.stall.Tick(c.clock())
	if stalled == 0 {
		return
	}
	c.stallEnded = time.Now()
	c.log.Warn("process stalled", "for", stalled)
	// The clock of the directory stands still while the VM is suspended.
	if suspended := stalled - gap; suspended > 0 {
		c.directory.Age(suspended)
	}
}

// noteForgotten records that the directory has forgotten an upstream.
func (c *Controller) noteForgotten(e *directory.Entry) {
	if e.State != directory.Gone {
		c.forgotten = append(c.forgotten, e.ID)
	}
}

func (c *Controller) logForgotten() {
	if len(c.forgotten) == 0 {
		return
	}
	c.cfg.Metrics.Forgotten.Add(float64(len(c.forgotten)))
	c.log.Info("silent upstreams forgotten", "upstreams", c.forgotten[:min(len(c.forgotten), maxForgottenNames)], "number", len(c.forgotten),
		"silent_for", c.cfg.Settings.Lifetime.String(), "known", c.directory.Len(), "leader", c.consensus.Status().Leader)
	c.forgotten = nil
}
