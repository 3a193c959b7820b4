package logstore

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
	"heatherport/internal/version/vfs/faultfs"
)

// TestMain sets a fixed seed and size of the rapid runs unless they are given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "40", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// write is a call of Save or SaveSnapshot.
type write struct {
	hard     *raft.HardState
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

func (w *write) apply(s *Store) error {
	if w.snapshot != nil {
		return s.SaveSnapshot(*w.snapshot)
	}
	return s.Save(w.hard, w.entries)
}

// model is the expected state of the store.
type model raft.State

func (m model) after(w *write) model {
	if w.hard != nil {
		m.HardState = *w.hard
	}
	if w.snapshot != nil {
		return m.afterSnapshot(*w.snapshot)
	}
	if len(w.entries) > 0 {
		keep := w.entries[0].Index - m.Snapshot.Index - 1
		m.Entries = append(slices.Clone(m.Entries[:keep]), w.entries...)
	}
	return m
}

func (m model) afterSnapshot(s raft.Snapshot) model {
	var rest []raft.Entry
	for i, e := range m.Entries {
		if e.Index == s.Index && e.Term == s.Term {
			rest = slices.Clone(m.Entries[i+1:])
		}
	}
	m.Snapshot = s
	m.Entries = rest
	return m
}

func (m model) equal(s raft.State) bool {
	return m.HardState == s.HardState &&
		m.Snapshot.Index == s.Snapshot.Index && m.Snapshot.Term == s.Snapshot.Term &&
		bytes.Equal(m.Snapshot.Data, s.Snapshot.Data) &&
		slices.Equal(m.Snapshot.Config.Voters, s.Snapshot.Config.Voters) &&
		slices.EqualFunc(m.Entries, s.Entries, func(a, b raft.Entry) bool {
			return a.Term == b.Term && a.Index == b.Index && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
		})
}

func entriesFrom(index, term uint64, n, size int) []raft.Entry {
	var out []raft.Entry
	for i := range n {
		data := bytes.Repeat([]byte{byte(index) + byte(i)}, size)
		out = append(out, raft.Entry{Term: term, Index: index + uint64(i), Data: data})
	}
	return out
}

func snapshotAt(index, term uint64) *raft.Snapshot {
	return &raft.Snapshot{
		Index: index, Term: term, Config: raft.Configuration{Voters: []string{"vm1", "vm2"}},
		Data: fmt.Appendf(nil, "state at %d", index),
	}
}

// writeSequence covers all kinds of writes: appends, a replaced suffix,
// compaction, a snapshot that replaces the log, and appends after each.
var writeSequence = []write{
	{hard: &raft.HardState{Term: 1, Joined: true}, entries: entriesFrom(1, 1, 2, 10)},
	{entries: entriesFrom(3, 1, 4, 300)},
	{hard: &raft.HardState{Term: 2, Vote: "vm2", Joined: true}},
	{hard: &raft.HardState{Term: 3, Commit: 2, Joined: true}, entries: entriesFrom(4, 3, 2, 20)},
	{snapshot: snapshotAt(4, 3)},
	{entries: entriesFrom(6, 3, 1, 700)},
	{snapshot: snapshotAt(20, 4)},
	{hard: &raft.HardState{Term: 4, Commit: 20, Joined: true}, entries: entriesFrom(21, 4, 3, 5)},
}

// runWriteSequence runs writeSequence until a write fails. It returns the
// acknowledged state, the write that failed, if any, and its error.
func runWriteSequence(folder vfs.FS) (acked model, failed *write, err error) {
	s, _, err := Open(folder)
	if err != nil {
		return model{}, nil, err
	}
	defer s.Close()
	for i := range writeSequence {
		if err := writeSequence[i].apply(s); err != nil {
			return acked, &writeSequence[i], err
		}
		acked = acked.after(&writeSequence[i])
	}
	return acked, nil, nil
}

// mustRecover opens the folder and checks that it holds the acknowledged state,
// with or without the write that was in flight.
func mustRecover(t must.T, folder vfs.FS, acked model, inFlight *write, settings ...must.Setting) *Store {
	t.Helper()
	s, rec, err := Open(folder)
	must.NoError(t, err, settings...)
	if inFlight != nil && acked.after(inFlight).equal(rec.State) {
		return s
	}
	must.True(t, acked.equal(rec.State), append(settings, must.Sprintf("recovered %+v, acknowledged %+v", rec.State, acked))...)
	return s
}

// mustAcceptWrite checks that the store accepts and keeps a further write.
func mustAcceptWrite(t must.T, folder *faultfs.FS, s *Store, settings ...must.Setting) {
	t.Helper()
	w := &write{hard: &raft.HardState{Term: 99, Joined: true}}
	acked := model(s.state()).after(w)
	must.NoError(t, w.apply(s), settings...)
	again := mustRecover(t, folder.AfterPowerLoss(faultfs.PowerLosses[0]), acked, nil, settings...)
	must.NoError(t, again.Close(), settings...)
}

// countOps returns the number of operations in a run of writeSequence without
// faults.
func countOps(t *testing.T) int {
	t.Helper()
	folder := faultfs.New()
	_, failed, err := runWriteSequence(folder)
	must.NoError(t, err)
	must.Nil(t, failed)
	return folder.Ops
}

func TestPowerLossAtEveryStep(t *testing.T) {
	for failAt := range countOps(t) {
		for _, l := range faultfs.PowerLosses {
			for _, partial := range []bool{false, true} {
				folder := faultfs.New()
				folder.FailAt = failAt + 1
				folder.FailWith = faultfs.ErrPowerLoss
				folder.PartialWrites = partial
				acked, failed, _ := runWriteSequence(folder)
				where := must.Sprintf("operation %d, %s, partial %v", failAt+1, l.Name, partial)
				found := folder.AfterPowerLoss(l)
				mustAcceptWrite(t, found, mustRecover(t, found, acked, failed, where), where)
			}
		}
	}
}

func TestProcessCrashAtEveryStep(t *testing.T) {
	for failAt := range countOps(t) {
		folder := faultfs.New()
		folder.FailAt = failAt + 1
		folder.FailWith = faultfs.ErrPowerLoss
		folder.PartialWrites = true
		acked, failed, _ := runWriteSequence(folder)
		where := must.Sprintf("operation %d", failAt+1)
		found := folder.AfterProcessCrash()
		mustAcceptWrite(t, found, mustRecover(t, found, acked, failed, where), where)
	}
}

// After a failure the store rejects all writes. The next process must recover
// the acknowledged state and keep it over a power loss, although the failed sync
// left pages in the page cache that look written.
func TestFailureAtEveryStep(t *testing.T) {
	codes := map[error]result.Code{unix.EIO: result.StorageFailed, unix.ENOSPC: result.StorageFull}
	for failAt := range countOps(t) {
		for cause, code := range codes {
			for _, partial := range []bool{false, true} {
				folder := faultfs.New()
				folder.FailAt = failAt + 1
				folder.FailWith = cause
				folder.PartialWrites = partial
				where := must.Sprintf("operation %d, %v, partial %v", failAt+1, cause, partial)
				acked, failed, err := runWriteSequence(folder)
				if err == nil {
					continue // the sync of Close
				}
				must.Eq(t, code, result.CodeOf(err), where)
				found := folder.AfterProcessCrash()
				mustAcceptWrite(t, found, mustRecover(t, found, acked, failed, where), where)
			}
		}
	}
}

func TestFailedStoreRejectsWrites(t *testing.T) {
	folder := faultfs.New()
	s, _, err := Open(folder)
	must.NoError(t, err)
	folder.FailAt = folder.Ops + 2 // the sync
	folder.FailWith = unix.EIO
	must.Eq(t, result.StorageFailed, result.CodeOf(writeSequence[0].apply(s)))
	ops := folder.Ops
	for i := range writeSequence {
		must.Eq(t, result.StorageFailed, result.CodeOf(writeSequence[i].apply(s)))
	}
	must.Eq(t, ops, folder.Ops)
	must.Eq(t, result.StorageFailed, result.CodeOf(s.Err()))
	must.Eq(t, result.StorageFailed, result.CodeOf(s.Close()))
}

func TestSaveTakesOneSync(t *testing.T) {
	folder := faultfs.New()
	s, _, err := Open(folder)
	must.NoError(t, err)
	before := folder.Ops
	must.NoError(t, s.Save(&raft.HardState{Term: 1}, entriesFrom(1, 1, 1000, 10)))
	must.Eq(t, 3, folder.Ops-before, must.Sprint("record, sync, synced length"))
}

// openDamaged opens a copy of the folder in which one file is changed.
func openDamaged(folder *faultfs.FS, name string, change func([]byte) []byte) (*Store, *Recovered, error) {
	found := folder.Clone()
	found.SetData(name, change(found.Data(name)))
	return Open(found)
}

// mustRecoverOrReject opens the damaged folder. Open must recover the
// acknowledged state or fail with the file and offset of the damage.
func mustRecoverOrReject(t *testing.T, folder *faultfs.FS, acked model, name, what string, change func([]byte) []byte) {
	t.Helper()
	_, rec, err := openDamaged(folder, name, change)
	if err == nil {
		must.True(t, acked.equal(rec.State), must.Sprintf("%s: %s", name, what))
		return
	}
	must.Eq(t, result.StorageCorrupt, result.CodeOf(err), must.Sprintf("%s: %s", name, what))
	must.StrContains(t, err.Error(), "at byte")
}

// closedFolder returns a closed folder after a run of writeSequence and the
// state that it holds.
func closedFolder(t *testing.T) (*faultfs.FS, model) {
	t.Helper()
	folder := faultfs.New()
	acked, failed, err := runWriteSequence(folder)
	must.NoError(t, err)
	must.Nil(t, failed)
	return folder, acked
}

func TestDamageAtEveryByte(t *testing.T) {
	folder, acked := closedFolder(t)
	for _, name := range []string{logName, snapshotName} {
		for i := range folder.Data(name) {
			for _, mask := range []byte{0x01, 0x80, 0xff} {
				mustRecoverOrReject(t, folder, acked, name, fmt.Sprintf("byte %d ^ %#x", i, mask), func(data []byte) []byte {
					data[i] ^= mask
					return data
				})
			}
			mustRecoverOrReject(t, folder, acked, name, fmt.Sprintf("zeros from byte %d", i), func(data []byte) []byte {
				clear(data[i:])
				return data
			})
			mustRecoverOrReject(t, folder, acked, name, fmt.Sprintf("cut to %d bytes", i), func(data []byte) []byte {
				return data[:i]
			})
		}
	}
}

func TestDamageInRecordsIsAlwaysDetected(t *testing.T) {
	folder, _ := closedFolder(t)
	for i := headerSize; i < len(folder.Data(logName)); i++ {
		_, _, err := openDamaged(folder, logName, func(data []byte) []byte {
			data[i] ^= 0x01
			return data
		})
		must.Eq(t, result.StorageCorrupt, result.CodeOf(err))
	}
}

// After a power loss that also lost the synced length of the last write, damage
// is detected in every record but the last one.
func TestDamageAfterPowerLoss(t *testing.T) {
	folder := faultfs.New()
	s, _, err := Open(folder)
	must.NoError(t, err)
	var acked [4]model
	var ends [4]int64
	for i := range acked {
		w := &write{hard: &raft.HardState{Term: uint64(i) + 1, Joined: true}, entries: entriesFrom(uint64(i)+1, 1, 1, 9)}
		must.NoError(t, w.apply(s))
		acked[i] = model(s.state())
		ends[i] = s.log.end
	}
	found := folder.AfterPowerLoss(faultfs.PowerLosses[0])
	must.Eq(t, ends[3], int64(len(found.Data(logName))))
	for i := headerSize; i < int(ends[3]); i++ {
		_, rec, err := openDamaged(found, logName, func(data []byte) []byte {
			data[i] ^= 0x10
			return data
		})
		if i < int(ends[2]) {
			must.Eq(t, result.StorageCorrupt, result.CodeOf(err), must.Sprintf("byte %d", i))
			continue
		}
		must.NoError(t, err)
		must.True(t, acked[2].equal(rec.State))
		must.Eq(t, ends[3]-ends[2], rec.TruncatedBytes)
	}
}

func TestDamageBeforeIntactRecordIsDetected(t *testing.T) {
	folder, _ := closedFolder(t)
	data := folder.Data(logName)
	old := headerSlot{sequence: 9, synced: headerSize}
	copy(data[old.offset():], old.encode())
	next := headerSlot{sequence: 8, synced: headerSize}
	copy(data[next.offset():], next.encode())
	folder.SetData(logName, data)
	_, _, err := openDamaged(folder, logName, func(data []byte) []byte {
		data[headerSize+recordHeaderSize] ^= 1
		return data
	})
	must.Eq(t, result.StorageCorrupt, result.CodeOf(err))
	must.StrContains(t, err.Error(), fmt.Sprintf("log at byte %d", headerSize))
}

// A record is valid only at its own offset, so that the data of an entry is not
// mistaken for a record.
func TestRecordIsBoundToItsOffset(t *testing.T) {
	buf, err := appendRecord(nil, 0, &record{Entries: entriesFrom(1, 1, 1, 10)})
	must.NoError(t, err)
	_, _, ok := recordBody(buf, 0)
	must.True(t, ok)
	_, _, ok = recordBody(append([]byte{0}, buf...), 1)
	must.False(t, ok)
}

func TestMissingFilesAreDetected(t *testing.T) {
	folder, _ := closedFolder(t)
	for _, name := range []string{logName, snapshotName} {
		found := folder.Clone()
		must.NoError(t, found.Remove(name))
		_, _, err := Open(found)
		must.Eq(t, result.StorageCorrupt, result.CodeOf(err), must.Sprint(name))
	}
}

func TestStoreOnDisk(t *testing.T) {
	path := t.TempDir() + "/data"
	folder, err := vfs.Dir(path)
	must.NoError(t, err)
	acked, _, err := runWriteSequence(folder)
	must.NoError(t, err)
	s := mustRecover(t, folder, acked, nil)
	_, _, err = Open(folder)
	must.Eq(t, result.StorageLocked, result.CodeOf(err))
	must.NoError(t, s.Close())
	must.NoError(t, mustRecover(t, folder, acked, nil).Close())
}

// TestRandomFaults compares the store with the model over random writes, faults,
// power losses and restarts.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder := faultfs.New()
		s, _, err := Open(folder)
		must.NoError(rt, err)
		var acked model
		reopen := func(found *faultfs.FS, inFlight *write) {
			folder = found
			s = mustRecover(rt, folder, acked, inFlight)
			acked = model(s.state())
		}
		save := func(w *write) {
			if err := w.apply(s); err != nil {
				l := faultfs.PowerLosses[rapid.IntRange(0, len(faultfs.PowerLosses)-1).Draw(rt, "loss")]
				if rapid.Bool().Draw(rt, "power loss") {
					reopen(folder.AfterPowerLoss(l), w)
				} else {
					s.release()
					reopen(folder.AfterProcessCrash(), w)
				}
				return
			}
			acked = acked.after(w)
		}
		last := func() uint64 { return acked.Snapshot.Index + uint64(len(acked.Entries)) }
		rt.Repeat(map[string]func(*rapid.T){
			"save": func(rt *rapid.T) {
				first := rapid.Uint64Range(acked.Snapshot.Index+1, last()+1).Draw(rt, "first")
				term := rapid.Uint64Range(1, 9).Draw(rt, "term")
				save(&write{
					hard:    &raft.HardState{Term: term, Joined: true},
					entries: entriesFrom(first, term, rapid.IntRange(0, 4).Draw(rt, "n"), rapid.IntRange(0, 900).Draw(rt, "size")),
				})
			},
			"compact": func(rt *rapid.T) {
				if len(acked.Entries) > 0 {
					e := acked.Entries[rapid.IntRange(0, len(acked.Entries)-1).Draw(rt, "at")]
					save(&write{snapshot: snapshotAt(e.Index, e.Term)})
				}
			},
			"install": func(rt *rapid.T) {
				save(&write{snapshot: snapshotAt(last()+rapid.Uint64Range(1, 5).Draw(rt, "ahead"), 9)})
			},
			"fault": func(rt *rapid.T) {
				folder.FailAt = folder.Ops + rapid.IntRange(1, 12).Draw(rt, "in")
				folder.FailWith = rapid.SampledFrom([]error{unix.EIO, unix.ENOSPC, faultfs.ErrPowerLoss}).Draw(rt, "cause")
				folder.PartialWrites = rapid.Bool().Draw(rt, "partial")
			},
			"restart": func(rt *rapid.T) {
				s.release()
				reopen(folder.AfterProcessCrash(), nil)
			},
		})
	})
}
