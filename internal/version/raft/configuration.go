package raft

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// Configuration is the set of members. Only voters count toward elections and
// commitment; learners replicate the log without a vote.
type Configuration struct {
	Voters   []string `cbor:"1,keyasint,omitempty"` // sorted
	Learners []string `cbor:"2,keyasint,omitempty"` // sorted
}

// IsVoter reports whether id is a voter.
func (c Configuration) IsVoter(id string) bool { return slices.Contains(c.Voters, id) }

// IsLearner reports whether id is a learner.
func (c Configuration) IsLearner(id string) bool { return slices.Contains(c.Learners, id) }

// IsMember reports whether id is a voter or a learner.
func (c Configuration) IsMember(id string) bool { return c.IsVoter(id) || c.IsLearner(id) }

// Members returns all voters and learners in sorted order.
func (c Configuration) Members() []string {
	all := slices.Concat(c.Voters, c.Learners)
	slices.Sort(all)
	return all
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Clone returns a copy that shares no memory with c.
func (c Configuration) Clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// Encode returns c encoded in CBOR, the data of an EntryConfig entry.
func (c Configuration) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode a configuration")
	}
	return data, nil
}

// DecodeConfiguration decodes the output of Configuration.Encode.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := cbor.Unmarshal(data, &c); err != nil {
		return c, result.Wrapf(err, result.BadMessage, "decode a configuration")
	}
	return c, nil
}

// ChangeKind is the kind of a ConfigChange.
type ChangeKind uint8

// The kinds of configuration changes.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// ConfigChange is a membership change of one node.
type ConfigChange struct {
	Kind ChangeKind
	ID   string
}

// with returns the configuration after change. changed is false if c already
// has the requested membership.
func (c Configuration) with(change ConfigChange) (next Configuration, changed bool, err error) {
	next = c.Clone()
	switch change.Kind {
	case AddLearner:
		return next.withLearner(change.ID)
	case PromoteLearner:
		return next.withPromoted(change.ID)
	case RemoveMember:
		return next.without(change.ID)
	}
	return c, false, result.Errorf(result.BadArguments, "configuration change of unknown kind %d", change.Kind)
}

func (c Configuration) withLearner(id string) (Configuration, bool, error) {
	if c.IsVoter(id) {
		return c, false, result.Errorf(result.MemberNameTaken, "%s is a voter", id)
	}
	if c.IsLearner(id) {
		return c, false, nil
	}
	c.Learners = append(c.Learners, id)
	slices.Sort(c.Learners)
	return c, true, nil
}

func (c Configuration) withPromoted(id string) (Configuration, bool, error) {
	if c.IsVoter(id) {
		return c, false, nil
	}
	if !c.IsLearner(id) {
		return c, false, result.Errorf(result.MemberUnknown, "%s is not a learner", id)
	}
	c.Learners = removeID(c.Learners, id)
	c.Voters = append(c.Voters, id)
	slices.Sort(c.Voters)
	return c, true, nil
}

func (c Configuration) without(id string) (Configuration, bool, error) {
	if !c.IsMember(id) {
		return c, false, result.Errorf(result.MemberUnknown, "%s is not a member", id)
	}
	c.Learners = removeID(c.Learners, id)
	c.Voters = removeID(c.Voters, id)
	if len(c.Voters) == 0 {
		return c, false, result.Errorf(result.QuorumAtRisk, "%s is the last voter", id)
	}
	return c, true, nil
}

func removeID(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(s string) bool { return s == id })
}

// indexedConfig is a configuration with the index of its log entry.
type indexedConfig struct {
	index  uint64
	config Configuration
}

// Bootstrap returns the initial state of the first voters of a new group. It
// is the same for all of them; the first log entry holds the configuration.
func Bootstrap(config Configuration) (State, error) {
	c := config.Clone()
	slices.Sort(c.Voters)
	slices.Sort(c.Learners)
	data, err := c.Encode()
	if err != nil {
		return State{}, err
	}
	return State{
		HardState: HardState{Term: 1, Commit: 1, Joined: true},
		Entries:   []Entry{{Term: 1, Index: 1, Kind: EntryConfig, Data: data}},
	}, nil
}
