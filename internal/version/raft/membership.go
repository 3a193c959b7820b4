package raft

import "heatherport/internal/result"

// config returns the latest configuration in the log.
func (n *Node) config() Configuration { return n.configs[len(n.configs)-1].config }

func (n *Node) configIndex() uint64 { return n.configs[len(n.configs)-1].index }

func (n *Node) isConfigPending() bool { return n.configIndex() > n.commitIndex }

// canCampaign reports whether the node may start an election. A voter may still
// do so while the configuration that removes it is not known to be committed,
// because its vote may be needed to commit it.
func (n *Node) canCampaign() bool {
	if !n.joined {
		return false
	}
	if n.config().IsVoter(n.cfg.ID) {
		return true
	}
	if !n.isConfigPending() || len(n.configs) < 2 {
		return false
	}
	return n.configs[len(n.configs)-2].config.IsVoter(n.cfg.ID)
}

// appendEntries appends consecutive entries and puts the configurations among
// them into use.
func (n *Node) appendEntries(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		c, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		n.adoptConfig(e.Index, c)
	}
	n.log.append(entries...)
	return nil
}

func (n *Node) adoptConfig(index uint64, c Configuration) {
	n.configs = append(n.configs, indexedConfig{index: index, config: c})
	if n.role == Leader {
		n.syncProgress()
	}
}

// truncateLog removes the entries from index i on and the configurations that
// they hold.
func (n *Node) truncateLog(i uint64) {
	n.log.truncate(i)
	for len(n.configs) > 1 && n.configIndex() >= i {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// trimConfigs removes the configurations superseded at or before index.
func (n *Node) trimConfigs(index uint64) {
	for len(n.configs) > 1 && n.configs[1].index <= index {
		n.configs = n.configs[1:]
	}
}

// configAtIndex returns the configuration in use at index.
func (n *Node) configAtIndex(index uint64) Configuration {
	c := n.configs[0].config
	for _, at := range n.configs[1:] {
		if at.index <= index {
			c = at.config
		}
	}
	return c
}

// ProposeConfig proposes a membership change and returns the index of the
// configuration entry. The change is complete once that index is committed;
// until then further changes are rejected. If the membership is already as
// requested, it returns the index of the latest configuration.
func (n *Node) ProposeConfig(change ConfigChange) (index uint64, err error) {
	if err := n.checkProposal(); err != nil {
		return 0, err
	}
	next, changed, err := n.config().with(change)
	if err != nil {
		return 0, err
	}
	if !changed {
		return n.configIndex(), nil
	}
	if err := n.checkChange(change, next); err != nil {
		return 0, err
	}
	data, err := next.Encode()
	if err != nil {
		return 0, err
	}
	index, _, err = n.appendProposal(Entry{Kind: EntryConfig, Data: data})
	return index, err
}

func (n *Node) checkChange(change ConfigChange, next Configuration) error {
	if n.isConfigPending() {
		return result.Errorf(result.VoterChangePending, "the change at index %d is not committed", n.configIndex())
	}
	// Until an entry of its own term is committed, the leader cannot know
	// whether a configuration of an earlier term is.
	if n.commitIndex < n.noopIndex {
		return result.Errorf(result.VoterChangePending, "term %d has no committed entry yet", n.term)
	}
	if change.Kind == PromoteLearner {
		if err := n.checkCaughtUp(change.ID); err != nil {
			return err
		}
	}
	return n.checkLiveQuorum(next)
}

func (n *Node) checkCaughtUp(id string) error {
	p := n.progress[id]
	if !n.isLive(id) {
		return result.Errorf(result.LearnerBehind, "%s is unreachable or lost its data folder", id)
	}
	if p.matchIndex < p.epoch || p.matchIndex+n.cfg.MaxLearnerLag < n.log.lastIndex() {
		return result.Errorf(result.LearnerBehind, "%s has %d of %d entries", id, p.matchIndex, n.log.lastIndex())
	}
	return nil
}

// checkLiveQuorum returns an error if the live voters of next do not form a
// quorum.
func (n *Node) checkLiveQuorum(next Configuration) error {
	live := 0
	for _, id := range next.Voters {
		if id == n.cfg.ID || n.isLive(id) {
			live++
		}
	}
	if live < next.Quorum() {
		return result.Errorf(result.QuorumAtRisk, "only %d of %d voters would be reachable", live, len(next.Voters))
	}
	return nil
}

// isLive reports whether a peer has responded within the election timeout and
// grants votes.
func (n *Node) isLive(id string) bool {
	p := n.progress[id]
	return p != nil && !p.unjoined && n.tick-p.lastContactTick < uint64(n.cfg.ElectionTicks)
}

// TransferLeadership transfers leadership to the voter to or, if to is empty,
// to the live voter with the longest log. Proposals are rejected during the
// transfer, which is aborted after ElectionTicks.
func (n *Node) TransferLeadership(to string) error {
	if n.role != Leader {
		return result.Errorf(result.NoLeader, "%s is a %s in term %d", n.cfg.ID, n.role, n.term)
	}
	if to == "" {
		to = n.transferTarget()
	}
	if to == n.cfg.ID || to == n.transferee {
		return nil
	}
	p := n.progress[to]
	if p == nil || !n.config().IsVoter(to) {
		return result.Errorf(result.MemberUnknown, "%q is not another voter", to)
	}
	n.transferee = to
	n.transferElapsed = 0
	n.maybeSendTimeoutNow(to, p)
	return nil
}

// transferTarget returns the live voter with the longest log, or "".
func (n *Node) transferTarget() string {
	best := ""
	for _, id := range n.config().Voters {
		if !n.isLive(id) {
			continue
		}
		if best == "" || n.progress[id].matchIndex > n.progress[best].matchIndex {
			best = id
		}
	}
	return best
}

// maybeSendTimeoutNow requests an election from the transferee once it has the
// whole log.
func (n *Node) maybeSendTimeoutNow(id string, p *progress) {
	if n.role != Leader || id != n.transferee || p.matchIndex < n.log.lastIndex() {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Type: MessageTimeoutNow, To: id})
}

func (n *Node) tickLeadershipTransfer() {
	if n.transferee == "" {
		return
	}
	n.transferElapsed++
	if n.transferElapsed >= n.cfg.ElectionTicks {
		n.transferee = ""
	}
}

// stepDown turns a leader that is no longer a voter into a follower. It requests
// an election from the transfer target if that has the whole log.
func (n *Node) stepDown() {
	if to := n.transferTarget(); to != "" {
		n.transferee = to
		n.maybeSendTimeoutNow(to, n.progress[to])
	}
	n.becomeFollower(n.term, "")
}
