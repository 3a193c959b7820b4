package controller

import (
	"slices"
	"time"

	"heatherport/internal/version/raft"
)

// Times without a message after which a member is replaced.
const (
	// voterTimeout is longer than an election and a restart, so that neither
	// causes a change of voters. A voter that returns later joins again as a
	// learner.
	voterTimeout = 3 * time.Second
	// learnerTimeout lets a learner that was absent for a short time continue.
	learnerTimeout = 20 * time.Second
)

// candidate is a controller that the leader knows, whether or not it is a member
// of the group.
type candidate struct {
	Member
	inactivity time.Duration // time since its last message
}

// plan is the input of nextChange.
type plan struct {
	self                string
	config              raft.Configuration
	progress            map[string]raft.ProgressStatus
	last                uint64 // last index of the log
	controllers         map[string]candidate
	toleratedDiskLosses int
	level               uint64 // feature level in force, which new members must speak
}

// voterTarget returns the number of voters of which a majority remains after
// the given number of losses.
func voterTarget(toleratedDiskLosses int) int { return 2*toleratedDiskLosses + 1 }

// nextChange returns the most urgent change of the membership. New voters are
// added before old ones are removed, so that the number of copies of the log
// never falls below toleratedDiskLosses+1.
func (p *plan) nextChange() (raft.ConfigChange, bool) {
	if id := p.controllerToAdd(); id != "" {
		return raft.ConfigChange{Kind: raft.AddLearner, ID: id}, true
	}
	live := 0
	for _, id := range p.config.Voters {
		if !p.needsReplacement(id) {
			live++
		}
	}
	target := voterTarget(p.toleratedDiskLosses)
	if live < target || p.voterToMove() != "" {
		if id := p.learnerToPromote(); id != "" && len(p.config.Voters) <= target {
			return raft.ConfigChange{Kind: raft.PromoteLearner, ID: id}, true
		}
	}
	if len(p.config.Voters) > target {
		if id := p.voterToRemove(); id != "" {
			return raft.ConfigChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	for _, id := range p.config.Learners {
		if p.isReplaced(id) || p.inactivity(id) > learnerTimeout {
			return raft.ConfigChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	return raft.ConfigChange{}, false
}

// controllerToAdd returns a live controller that is not a member, or "".
func (p *plan) controllerToAdd() string {
	best := ""
	for id, c := range p.controllers {
		if c.Level >= p.level && c.inactivity < voterTimeout && !p.config.IsMember(id) && !p.isReplaced(id) && (best == "" || id < best) {
			best = id
		}
	}
	return best
}

// inactivity returns the time since the last message of a member, on its links
// or as an answer to the leader.
func (p *plan) inactivity(id string) time.Duration {
	if id == p.self {
		return 0
	}
	inactivity := time.Duration(p.progress[id].TicksSinceResponse) * tickInterval
	if c, ok := p.controllers[id]; ok {
		inactivity = min(inactivity, c.inactivity)
	}
	return inactivity
}

// isReplaced reports whether a newer disk introduced itself at the address of a
// member, so that the member will never return.
func (p *plan) isReplaced(id string) bool {
	for other, c := range p.controllers {
		if other != id && c.Link == linkOf(id) && c.inactivity < p.linkInactivity(id) {
			return true
		}
	}
	return false
}

func (p *plan) linkInactivity(id string) time.Duration {
	if id == p.self {
		return 0
	}
	if c, ok := p.controllers[id]; ok {
		return c.inactivity
	}
	return 1<<63 - 1
}

// needsReplacement reports whether another controller should take the place of
// a voter.
func (p *plan) needsReplacement(id string) bool {
	return id != p.self && (p.isReplaced(id) || p.inactivity(id) > voterTimeout || p.progress[id].Unjoined)
}

// votersIn returns the number of voters in a failure domain that need no
// replacement.
func (p *plan) votersIn(domain string) int {
	n := 0
	for _, id := range p.config.Voters {
		if p.controllers[id].Domain == domain && !p.needsReplacement(id) {
			n++
		}
	}
	return n
}

// voterToMove returns a voter in a failure domain with more than
// max(toleratedDiskLosses, 1) voters, if a learner in a failure domain with at least two
// voters fewer could take its place, or "".
func (p *plan) voterToMove() string {
	learner := p.learnerToPromote()
	if learner == "" {
		return ""
	}
	for _, id := range p.config.Voters {
		domain := p.controllers[id].Domain
		if id != p.self && p.votersIn(domain) > max(p.toleratedDiskLosses, 1) && p.votersIn(p.controllers[learner].Domain)+1 < p.votersIn(domain) {
			return id
		}
	}
	return ""
}

// learnerToPromote returns a caught-up learner in the failure domain with the
// fewest voters, or "".
func (p *plan) learnerToPromote() string {
	best := ""
	for _, id := range p.config.Learners {
		caughtUp := p.progress[id].MatchIndex+learnerLag >= p.last
		if !caughtUp || p.inactivity(id) > voterTimeout || p.isReplaced(id) {
			continue
		}
		if best == "" || p.votersIn(p.controllers[id].Domain) < p.votersIn(p.controllers[best].Domain) {
			best = id
		}
	}
	return best
}

// voterToRemove returns the voter other than this one to remove: preferably a
// replaced one, then another that needs replacement, then one in the failure
// domain with the most voters.
func (p *plan) voterToRemove() string {
	voters := slices.DeleteFunc(slices.Clone(p.config.Voters), func(id string) bool { return id == p.self })
	if len(voters) == 0 {
		return ""
	}
	return slices.MaxFunc(voters, func(a, b string) int { return p.removalPriority(a) - p.removalPriority(b) })
}

func (p *plan) removalPriority(id string) int {
	switch {
	case p.isReplaced(id):
		return 1000
	case p.needsReplacement(id):
		return 500
	}
	return p.votersIn(p.controllers[id].Domain)
}
