package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherport/internal/connection/flow"
	"heatherport/internal/measure/fleet"
	"heatherport/internal/version"
	"heatherport/internal/version/placement"
)

const (
	imbalanceLifetime    = 30 * time.Second
	imbalanceWarmup      = 4 * imbalanceLifetime
	imbalanceMeasureTime = 2 * imbalanceLifetime
	reportInterval       = 500 * time.Millisecond
)

// imbalance measures the imbalance between upstreams at several numbers of open
// connections. Connections have heavy-tailed lifetimes. For comparison it
// applies other load-balancing policies to the same connections.
func imbalance() []Figure {
	var out []Figure
	for _, open := range []int{300, 3000, 20000} {
		out = append(out, imbalanceAt(open)...)
	}
	return out
}

func imbalanceAt(open int) []Figure {
	f, large, _ := startFleet(networkConfig(uint64(open)))
	ids := f.Leader.Upstreams(large, version.Active)
	t := &fleet.Traffic{
		Service: large, ConnectionRate: float64(open) / imbalanceLifetime.Seconds(),
		MeanLifetime: imbalanceLifetime, PacketsPerConnection: 2,
	}
	simulation := newPolicySimulation(f, ids)
	opened, deviating := 0, 0
	t.OnOpen = func(c *fleet.Conn) {
		opened++
		simulation.open(c.Key)
		if placement.First(f.Leader.Service(large).Base, placement.Bucket(c.Key.Hash())) != c.Upstream {
			deviating++
		}
	}
	t.OnClose = func(c *fleet.Conn) { simulation.close(c.Key) }
	t.Attach(f)
	f.Run(imbalanceWarmup)
	opened, deviating = 0, 0
	var engineValues, hashValues, twoChoicesValues, laggingValues []float64
	for range int(imbalanceMeasureTime / time.Second) {
		f.Run(time.Second)
		engineValues = append(engineValues, t.Imbalance(ids))
		hashValues = append(hashValues, simulation.imbalance(byHash))
		twoChoicesValues = append(twoChoicesValues, simulation.imbalance(byTwoChoices))
		laggingValues = append(laggingValues, simulation.imbalance(byLaggingCounts))
	}
	name := fmt.Sprintf("imbalance_%d", open)
	return []Figure{
		{name, median(engineValues), "max/mean"},
		{name + "_hash", median(hashValues), "max/mean"},
		{name + "_p2c", median(twoChoicesValues), "max/mean"},
		{name + "_lagging", median(laggingValues), "max/mean"},
		{name + "_open", float64(t.OpenConnections()), "connections"},
		{name + "_deviating", float64(deviating) / float64(max(opened, 1)), "share"},
	}
}

// policy is a load-balancing policy that the engines are compared with.
type policy int

const (
	byHash          policy = iota
	byTwoChoices           // of two random upstreams the one with fewer open connections, by exact counts
	byLaggingCounts        // the upstream with the fewest open connections, by local counts and the last reports of other members
	policyCount
)

// policySimulation applies all policies to the same connections.
type policySimulation struct {
	fleet          *fleet.Fleet
	rand           *rand.Rand
	ids            []version.UpstreamID
	all            version.Ranking
	choices        [policyCount]map[flow.Key]choice
	openCounts     [policyCount][]int
	localCounts    [memberCount][]int // by member that decides
	reportedCounts [memberCount][]int // by member that decides, at its last report
}

type choice struct{ upstream, member int }

func newPolicySimulation(f *fleet.Fleet, ids []version.UpstreamID) *policySimulation {
	s := &policySimulation{fleet: f, rand: rand.New(rand.NewPCG(7, 7)), ids: ids}
	for _, id := range ids {
		s.all = append(s.all, version.WeightedUpstream{Upstream: id, Weight: 1})
	}
	for k := range s.choices {
		s.choices[k] = make(map[flow.Key]choice)
		s.openCounts[k] = make([]int, len(ids))
	}
	for i := range s.localCounts {
		s.localCounts[i], s.reportedCounts[i] = make([]int, len(ids)), make([]int, len(ids))
		f.After(reportInterval*time.Duration(i)/memberCount, func() { s.report(i) })
	}
	return s
}

func (s *policySimulation) report(i int) {
	copy(s.reportedCounts[i], s.localCounts[i])
	s.fleet.After(reportInterval, func() { s.report(i) })
}

func (s *policySimulation) open(k flow.Key) {
	member := s.rand.IntN(memberCount)
	s.place(byHash, k, s.hashChoice(k), member)
	s.place(byTwoChoices, k, s.twoChoices(), member)
	u := s.laggingCountsChoice(member)
	s.place(byLaggingCounts, k, u, member)
	s.localCounts[member][u]++
}

func (s *policySimulation) place(p policy, k flow.Key, upstream, member int) {
	s.choices[p][k] = choice{upstream, member}
	s.openCounts[p][upstream]++
}

func (s *policySimulation) close(k flow.Key) {
	for p := range s.choices {
		c, ok := s.choices[p][k]
		if !ok {
			continue
		}
		delete(s.choices[p], k)
		s.openCounts[p][c.upstream]--
		if policy(p) == byLaggingCounts {
			s.localCounts[c.member][c.upstream]--
		}
	}
}

func (s *policySimulation) hashChoice(k flow.Key) int {
	id := placement.First(s.all, placement.Bucket(k.Hash()))
	for i := range s.ids {
		if s.ids[i] == id {
			return i
		}
	}
	return 0
}

func (s *policySimulation) twoChoices() int {
	a, b := s.rand.IntN(len(s.ids)), s.rand.IntN(len(s.ids))
	if s.openCounts[byTwoChoices][b] < s.openCounts[byTwoChoices][a] {
		return b
	}
	return a
}

func (s *policySimulation) laggingCountsChoice(member int) int {
	best, fewest := 0, 0
	for u := range s.ids {
		count := s.localCounts[member][u]
		for i := range s.reportedCounts {
			if i != member {
				count += s.reportedCounts[i][u]
			}
		}
		if u == 0 || count < fewest {
			best, fewest = u, count
		}
	}
	return best
}

func (s *policySimulation) imbalance(p policy) float64 {
	maxOpen, sum := 0, 0
	for _, n := range s.openCounts[p] {
		maxOpen = max(maxOpen, n)
		sum += n
	}
	return float64(maxOpen) * float64(len(s.ids)) / float64(max(sum, 1))
}
