package controller

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heatherport/internal/version/vfs"
)

// fullDisk opens data folders on a disk that may be full.
type fullDisk struct {
	full atomic.Bool
	// half makes a full disk take the first half of a write, strict makes it refuse new
	// names too.
	half, strict atomic.Bool
}

func (d *fullDisk) open(path string) (vfs.FS, error) {
	folder, err := vfs.Dir(path)
	return fullFolder{folder, d}, err
}

type fullFolder struct {
	vfs.FS
	disk *fullDisk
}

func (f fullFolder) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return fullFile{file, f.disk}, nil
}

func (f fullFolder) Open(name string) (vfs.File, error) { return f.wrap(f.FS.Open(name)) }

func (f fullFolder) Create(name string) (vfs.File, error) {
	if f.disk.full.Load() && f.disk.strict.Load() {
		return nil, syscall.ENOSPC
	}
	return f.wrap(f.FS.Create(name))
}

type fullFile struct {
	vfs.File
	disk *fullDisk
}

func (f fullFile) WriteAt(p []byte, off int64) (int, error) {
	if !f.disk.full.Load() {
		return f.File.WriteAt(p, off)
	}
	n := 0
	if f.disk.half.Load() {
		n, _ = f.File.WriteAt(p[:len(p)/2], off)
	}
	return n, syscall.ENOSPC
}

var (
	fullDiskRounds = flag.Int("full-disk.rounds", 6, "disks that fill up one after another")
	fullDiskSeed   = flag.Uint64("full-disk.seed", 1, "seed of TestDisksFillUpOneAfterAnother")
)

// Guards against a group that takes no orders any more after the disks of its controllers
// were full for a short time each, never two at once.
func TestDisksFillUpOneAfterAnother(t *testing.T) {
	f := newCluster(t)
	learner := f.reserve()
	f.start(learner, false)
	f.submit(f.vms[0], 1)
	random := rand.New(rand.NewPCG(*fullDiskSeed, 0))
	number := uint64(1)
	submitFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			number++
			_ = f.vms[random.IntN(len(f.vms))].Submit(context.Background(), document(number))
		}
	}
	for range *fullDiskRounds {
		v := f.vms[random.IntN(len(f.vms))]
		if random.IntN(2) == 0 {
			v = f.leader()
		}
		v.disk.half.Store(random.IntN(2) == 0)
		v.disk.strict.Store(random.IntN(2) == 0)
		v.disk.full.Store(true)
		submitFor(time.Duration(100+random.IntN(3000)) * time.Millisecond)
		v.disk.full.Store(false)
		submitFor(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	for _, v := range f.vms {
		number++
		begun := time.Now()
		f.submit(v, number)
		f.expect(v, number)
		t.Log("acknowledged and read after", time.Since(begun))
	}
	for _, v := range f.vms {
		f.eventually("an open log", func() bool { return v.consensus.Status().LogOpen })
	}
}
