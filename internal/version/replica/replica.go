// Package replica runs a raft.Node on a logstore.Store. It persists the state
// that a message depends on before it returns the message to the caller.
//
// After a storage failure a replica stops: every further call returns the
// failure, and no messages are returned. The process must be restarted.
package replica

import (
	"heatherport/internal/result"
	"heatherport/internal/version/logstore"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

// Output is the result of Process. The caller handles it in this order: send
// Messages, restore the application from Snapshot, apply Committed, serve
// ReadStates.
type Output struct {
	Messages   []raft.Message
	Snapshot   *raft.Snapshot
	Committed  []raft.Entry
	ReadStates []raft.ReadState
	SoftState  raft.SoftState
}

// Replica is a Raft node with durable state. It is not safe for concurrent use.
type Replica struct {
	node    *raft.Node
	store   *logstore.Store
	initial raft.State
	err     error
}

// Options holds the parameters of Open.
type Options struct {
	Raft   raft.Config
	Folder vfs.FS
	// Bootstrap, if set, makes this VM an initial voter of a new group if the
	// folder is empty. It must not be set on a VM that may have lost its
	// folder. Without it, such a VM grants no votes until it has been removed
	// and added again.
	Bootstrap *raft.Configuration
	// Check, if set, is called with the entries of the recovered log. An error fails
	// Open before anything is written.
	Check func(data []byte) error
}

// Open recovers a replica from its data folder.
func Open(opts Options) (*Replica, error) {
	store, rec, err := logstore.Open(opts.Folder)
	if err != nil {
		return nil, err
	}
	r, err := start(store, rec, opts)
	if err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func start(store *logstore.Store, rec *logstore.Recovered, opts Options) (*Replica, error) {
	initial := rec.State
	if opts.Check != nil {
		for i := range initial.Entries {
			if e := &initial.Entries[i]; e.Kind == raft.EntryCommand {
				if err := opts.Check(e.Data); err != nil {
					return nil, err
				}
			}
		}
	}
	if isEmpty(&initial) && opts.Bootstrap != nil {
		first, err := raft.Bootstrap(*opts.Bootstrap)
		if err != nil {
			return nil, err
		}
		if err := store.Save(&first.HardState, first.Entries); err != nil {
			return nil, err
		}
		initial = first
	}
	node, err := raft.New(opts.Raft, initial)
	if err != nil {
		return nil, err
	}
	initial.Entries = nil
	return &Replica{node: node, store: store, initial: initial}, nil
}

func isEmpty(s *raft.State) bool {
	return s.HardState == raft.HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Recovered returns the hard state and the snapshot from which the replica
// started. The caller restores the application from the snapshot. The first
// call of Process returns the entries known to be committed.
func (r *Replica) Recovered() raft.State { return r.initial }

// Err returns the storage failure that stopped the replica, if any.
func (r *Replica) Err() error { return r.err }

// Tick advances the node's clock by one tick.
func (r *Replica) Tick() error {
	if r.err != nil {
		return r.err
	}
	r.node.Tick()
	return nil
}

// Step handles a message from another replica.
func (r *Replica) Step(m raft.Message) error {
	if r.err != nil {
		return r.err
	}
	return r.node.Step(m)
}

// Propose appends data to the leader's log; see raft.Node.Propose.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.err != nil {
		return 0, 0, r.err
	}
	return r.node.Propose(data)
}

// ProposeConfig starts a change of membership; see raft.Node.ProposeConfig.
func (r *Replica) ProposeConfig(change raft.ConfigChange) (index uint64, err error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.node.ProposeConfig(change)
}

// TransferLeadership transfers leadership; see raft.Node.TransferLeadership.
func (r *Replica) TransferLeadership(to string) error {
	if r.err != nil {
		return r.err
	}
	return r.node.TransferLeadership(to)
}

// ReadIndex requests a read index; see raft.Node.ReadIndex.
func (r *Replica) ReadIndex(context uint64) error {
	if r.err != nil {
		return r.err
	}
	return r.node.ReadIndex(context)
}

// Process persists the node's pending state and returns the remaining output.
// Proposals and messages passed in since the last call share one sync.
func (r *Replica) Process() (Output, error) {
	var out Output
	for r.err == nil {
		rd, ok := r.node.Ready()
		if !ok {
			out.SoftState = r.node.Status().SoftState
			return out, nil
		}
		r.err = r.persist(&rd)
		if r.err != nil {
			break
		}
		out.add(&rd)
		r.node.Advance()
	}
	return Output{}, r.err
}

func (r *Replica) persist(rd *raft.Ready) error {
	if rd.Snapshot != nil {
		if err := r.store.SaveSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	return r.store.Save(rd.HardState, rd.Entries)
}

func (o *Output) add(rd *raft.Ready) {
	o.Messages = append(o.Messages, rd.Messages...)
	o.ReadStates = append(o.ReadStates, rd.ReadStates...)
	if rd.Snapshot != nil {
		// The snapshot includes the entries committed before it.
		o.Snapshot = rd.Snapshot
		o.Committed = nil
	}
	o.Committed = append(o.Committed, rd.Committed...)
}

// Compact saves data as the snapshot of the application's state at index and
// removes the log entries that it covers.
func (r *Replica) Compact(index uint64, data []byte) error {
	if r.err != nil {
		return r.err
	}
	snap, err := r.node.Compact(index, data)
	if err != nil {
		return err
	}
	r.err = r.store.SaveSnapshot(snap)
	return r.err
}

// Status returns the status of the node. A failed replica reports itself as a
// follower without a leader.
func (r *Replica) Status() raft.Status {
	s := r.node.Status()
	if r.err != nil {
		s.SoftState = raft.SoftState{Term: s.SoftState.Term}
		s.LeaseValid = false
	}
	return s
}

// Close stops the replica and releases its data folder.
func (r *Replica) Close() error {
	err := r.store.Close()
	if r.err == nil {
		r.err = result.Errorf(result.ShuttingDown, "the replica is closed")
	}
	return err
}
