package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"grebeglade/internal/storage/statepb"
)

const day = 86400e3

var now = func() float64 { return 1e12 }

func bound(key uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bound{Bound: &statepb.Bound{
		Key: key, Group: "once", Node: uint32(key % 7), Incarnation: 5, Workload: key, Number: number, UntilMs: now() + day,
	}}}
}

func settled(key uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Settled{Settled: &statepb.Settled{Key: key, Number: number, Incarnation: 5}}}
}

func open(t require.TestingT, d Disk, most int) (*Log, *Contents) {
	l, f, err := Open(d, &statepb.Life{Incarnation: 5, UnixMs: now()}, most, now)
	require.NoError(t, err)
	return l, f
}

// text is what is known, to compare.
func text(kept []*statepb.Bound) string {
	var b bytes.Buffer
	for _, k := range kept {
		fmt.Fprintln(&b, k.Key, k.Number, k.UntilMs)
	}
	return b.String()
}

func modelText(kept map[uint64]*statepb.Bound) string {
	m := map[uint64]*statepb.Bound{}
	for k, v := range kept {
		m[k] = v
	}
	l := &Log{kept: m, now: now}
	l.prune()
	f := &Contents{}
	for key := range uint64(1000) {
		if k := l.kept[key]; k != nil {
			f.LiveBinds = append(f.LiveBinds, k)
		}
	}
	return text(f.LiveBinds)
}

func TestWhatIsLiveIsFoundAgainAndWhatIsSettledIsNot(t *testing.T) {
	d := NewMemoryDisk(1)
	l, f := open(t, d, 1<<20)
	assert.Nil(t, f.Incarnation)
	require.NoError(t, l.Commit([]*statepb.Entry{bound(1, 0), bound(2, 0), bound(3, 0), bound(4, 0)}, true))
	require.NoError(t, l.Commit([]*statepb.Entry{
		bound(2, 1), settled(2, 0), settled(1, 0), settled(4, 0),
	}, true))
	require.NoError(t, l.Close())
	l, f = open(t, d, 1<<20)
	assert.Equal(t, "2 1 1.0000864e+12\n3 0 1.0000864e+12\n", text(f.LiveBinds))
	assert.EqualValues(t, 5, f.Incarnation.Incarnation)
	assert.EqualValues(t, 6, l.lived.Incarnation, "a later life has a later number, whatever the clock says")
}

// script is a history that has everything in it: entries that are waited for and not, groups, a log that is followed by a
// snapshot, and a second life.
func history(t require.TestingT, d Disk, promised func(entries []*statepb.Entry, lasts bool)) error {
	for life := range uint64(2) {
		l, _, err := Open(d, &statepb.Life{Incarnation: 5 + life, UnixMs: now()}, 300, now)
		if err != nil {
			return err
		}
		for i := range uint64(12) {
			entries := []*statepb.Entry{bound(life*100+i, 0)}
			if i%3 == 1 {
				entries = append(entries, settled(life*100+i-1, 0), bound(life*100+i+50, 0))
			}
			if i%4 == 3 {
				entries = append(entries, settled(life*100+i-2, 0))
			}
			sync := i%5 != 4
			promised(entries, false)
			if err := l.Commit(entries, sync); err != nil {
				return err
			}
			if sync {
				promised(nil, true)
			}
		}
		if err := l.Close(); err != nil {
			return err
		}
		promised(nil, true)
	}
	return nil
}

// A machine that crashes at any operation, in the middle of it, finds all that was promised to last, and nothing that was
// not written. Then it works on.
func TestACrashAtEveryPointLosesNothingThatWasPromised(t *testing.T) {
	whole := NewMemoryDisk(1)
	require.NoError(t, history(t, whole, func([]*statepb.Entry, bool) {}))
	crashes := 0
	for op := 1; op <= whole.Ops(); op++ {
		for seed := range uint64(8) {
			d := NewMemoryDisk(seed)
			d.Fault = func(n int, _, _ string) error {
				if n == op {
					return ErrCrashed
				}
				return nil
			}
			// What it may be after the crash: the state after the last promise, or after any entry since.
			model := map[uint64]*statepb.Bound{}
			may := []string{modelText(model)}
			err := history(t, d, func(entries []*statepb.Entry, lasts bool) {
				if lasts {
					may = may[len(may)-1:]
				}
				for _, e := range entries {
					apply(model, e)
					may = append(may, modelText(model))
				}
			})
			if err == nil {
				continue // it crashed where nothing could tell: in tidying up
			}
			crashes++
			d.Crash()
			d.Recover()
			d.Fault = nil
			f, err := Inspect(d)
			require.NoError(t, err, "operation %d, seed %d", op, seed)
			require.Contains(t, may, text(f.LiveBinds), "operation %d, seed %d", op, seed)
			l, again := open(t, d, 300)
			require.Equal(t, text(f.LiveBinds), text(again.LiveBinds))
			require.NoError(t, l.Commit([]*statepb.Entry{bound(999, 0)}, true))
			require.NoError(t, l.Close())
		}
	}
	assert.Greater(t, crashes, 500)
}

// Any one operation fails, as on a disk that is full or bad for a moment, and the process lives on: what was reported as
// kept is kept, what was reported as not kept is not counted on, and the next commit works.
func TestAnOperationThatFailsOnceLosesNothingThatWasReportedKept(t *testing.T) {
	failed := errors.New("no space left on device")
	for op := 1; op < 60; op++ {
		d := NewMemoryDisk(uint64(op))
		l, _ := open(t, d, 300)
		first := d.Ops()
		struck := ""
		d.Fault = func(n int, what, name string) error {
			if n == first+op {
				struck = what
				return failed
			}
			return nil
		}
		kept := map[uint64]*statepb.Bound{}
		for i := range uint64(20) {
			e := []*statepb.Entry{bound(i, 0)}
			if i%3 == 2 {
				e = append(e, settled(i-1, 0))
			}
			if l.Commit(e, true) == nil {
				for _, x := range e {
					apply(kept, x)
				}
			}
		}
		d.Crash()
		d.Recover()
		d.Fault = nil
		f, err := Inspect(d)
		require.NoError(t, err, "%s, operation %d", struck, op)
		require.Equal(t, modelText(kept), text(f.LiveBinds), "%s, operation %d", struck, op)
	}
}

// A sync that failed may have lost what was written before it, and a later one of the same file that succeeds says nothing
// about that. So nothing goes to that file any more.
func TestAFileWhoseSyncFailedIsNeverTrustedAgain(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := open(t, d, 1<<20)
	before := fileName(l.number, logEnd)
	once := true
	d.Fault = func(_ int, what, name string) error {
		if what == "sync" && name == before && once {
			once = false
			return errors.New("input/output error")
		}
		if !once {
			assert.False(t, (what == "write" || what == "sync") && name == before, "the file is used again")
		}
		return nil
	}
	require.NoError(t, l.Commit([]*statepb.Entry{bound(1, 0)}, true), "all of it went to a new file")
	require.NoError(t, l.Commit([]*statepb.Entry{bound(2, 0)}, true))
	assert.False(t, once)
	d.Crash()
	d.Recover()
	f, err := Inspect(d)
	require.NoError(t, err)
	assert.Len(t, f.LiveBinds, 2)
}

// While a disk takes nothing, commits fail and say so; when it takes something again, they work.
func TestADiskThatTakesNothingIsReportedAndTriedAgain(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := open(t, d, 1<<20)
	d.Fault = func(_ int, what, _ string) error {
		if what == "write" || what == "create" {
			return errors.New("read-only file system")
		}
		return nil
	}
	for range 3 {
		assert.ErrorContains(t, l.Commit([]*statepb.Entry{bound(1, 0)}, true), "read-only file system")
	}
	assert.Zero(t, l.Live(), "what was reported as not kept is not")
	d.Fault = nil
	require.NoError(t, l.Commit([]*statepb.Entry{bound(2, 0)}, true))
	f, err := Inspect(d)
	require.NoError(t, err)
	assert.Equal(t, text(f.LiveBinds), text([]*statepb.Bound{bound(2, 0).GetBound()}))
}

func TestADirectoryStaysAsSmallAsWhatIsLive(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := open(t, d, 2000)
	for i := range uint64(5000) {
		require.NoError(t, l.Commit([]*statepb.Entry{bound(i, 0), settled(i, 0)}, true))
	}
	total := 0
	names, _ := d.List()
	for _, name := range names {
		b, _ := d.Read(name)
		total += len(b)
	}
	assert.Less(t, total, 5000)
	assert.LessOrEqual(t, len(names), 2)
}

func TestADirectoryInUseIsLeftAlone(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	require.NoError(t, err)
	l, _ := open(t, d, 1<<20)
	other, err := OpenDir(path)
	require.NoError(t, err)
	_, _, err = Open(other, &statepb.Life{Incarnation: 9}, 1<<20, now)
	assert.ErrorIs(t, err, ErrInUse)
	assert.ErrorContains(t, err, path)
	require.NoError(t, l.Commit([]*statepb.Entry{bound(1, 0)}, true))
	require.NoError(t, l.Close())
	_, f := open(t, other, 1<<20)
	assert.Len(t, f.LiveBinds, 1)
}

func TestDamageIsNamedAndARepairKeepsWhatItDrops(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	require.NoError(t, err)
	l, _ := open(t, d, 1<<20)
	for i := range uint64(10) {
		require.NoError(t, l.Commit([]*statepb.Entry{bound(i, 0)}, true))
	}
	require.NoError(t, l.Close())
	none, err := PlanRepair(d)
	require.NoError(t, err)
	assert.Nil(t, none)

	log := filepath.Join(path, fileName(l.number, logEnd))
	b, err := os.ReadFile(log)
	require.NoError(t, err)
	b[headSize+200] ^= 1
	require.NoError(t, os.WriteFile(log, b, 0o600))
	_, _, err = Open(d, &statepb.Life{Incarnation: 9}, 1<<20, now)
	var damage *DamageError
	require.ErrorAs(t, err, &damage)
	assert.ErrorContains(t, err, fileName(l.number, logEnd)+" is damaged at byte ")
	assert.ErrorContains(t, err, "grebeglade state repair")
	r, err := PlanRepair(d)
	require.NoError(t, err)
	assert.Greater(t, r.LostEntries, 3)
	require.NoError(t, r.Apply(d))
	f, err := Inspect(d)
	require.NoError(t, err)
	assert.Equal(t, 10, len(f.LiveBinds)+r.LostEntries+1, "what stood before the damage, the damaged one, what was behind")
	aside, err := os.ReadFile(log + asideEnd)
	require.NoError(t, err)
	assert.Equal(t, b, aside)
}

func TestALaterVersionIsRefusedAndLeftAsItIs(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := open(t, d, 1<<20)
	require.NoError(t, l.Close())
	name := fileName(l.number, snapshotEnd)
	d.names[name].data[len(magic)] = 2
	_, _, err := Open(d, &statepb.Life{Incarnation: 9}, 1<<20, now)
	var later *VersionError
	require.ErrorAs(t, err, &later)
	assert.ErrorContains(t, err, name+" is of version 2 and this program reads up to 1")
	assert.False(t, d.locked)
	again, _ := d.Read(name)
	assert.EqualValues(t, 2, again[len(magic)])
}

func TestAWriterCallsBackOnceTheEntryLasts(t *testing.T) {
	for _, policy := range []SyncPolicy{GroupCommit, SyncPerEntry, NoSync} {
		d := NewMemoryDisk(1)
		l, _ := open(t, d, 1<<20)
		w := NewWriter(l, policy)
		var wg sync.WaitGroup
		for i := range uint64(200) {
			wg.Add(1)
			w.Write(bound(i, 0), func(err error) { assert.NoError(t, err); wg.Done() })
			w.Write(settled(i, 1), nil)
		}
		wg.Wait()
		if policy != NoSync {
			d.Crash()
			d.Recover()
			f, err := Inspect(d)
			require.NoError(t, err)
			assert.Len(t, f.LiveBinds, 200)
			w.Close()
			continue
		}
		require.NoError(t, w.Close())
		f, err := Inspect(d)
		require.NoError(t, err)
		assert.Len(t, f.LiveBinds, 200)
	}
}

// A disk that hangs: what waited for it grew with every bind.
func TestAWriterWhoseDiskHangsTurnsEntriesAway(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := open(t, d, 1<<30)
	hangs, hung := make(chan struct{}), make(chan struct{}, 1)
	d.Fault = func(int, string, string) error {
		select {
		case hung <- struct{}{}:
		default:
		}
		<-hangs
		return nil
	}
	w := NewWriter(l, GroupCommit)
	w.Write(bound(0, 0), nil)
	<-hung // the first is under way
	var kept sync.WaitGroup
	for i := range uint64(mostQueued) {
		kept.Add(1)
		w.Write(bound(i+1, 0), func(err error) { assert.NoError(t, err); kept.Done() })
	}
	var behind error
	w.Write(bound(1<<40, 0), func(err error) { behind = err })
	w.Write(settled(1, 0), nil)
	assert.ErrorIs(t, behind, ErrBehind)
	assert.Len(t, w.queue, mostQueued)
	close(hangs)
	kept.Wait()
	require.NoError(t, w.Close())
}

// Whatever stands in a log, reading ends, and what is taken was written under a checksum.
func FuzzReadLog(f *testing.F) {
	b := header(7)
	for i := range uint64(4) {
		b, _ = appendRecord(b, bound(i, 0))
	}
	f.Add(b)
	f.Add(b[:len(b)-5])
	f.Add(header(7))
	f.Add([]byte{})
	f.Add(append(bytes.Clone(b[:60]), b...))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := 0
		torn, err := readLog("x", b, 7, func(e *statepb.Entry) { n += recSize + proto.Size(e) })
		if err == nil && torn > len(b) {
			t.Fatal("more is torn than there is")
		}
		if err == nil && torn == 0 && len(b) > 0 && n > len(b)-headSize {
			t.Fatal("more was read than there is")
		}
	})
}
