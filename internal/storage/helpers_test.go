package storage

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/require"
)

const (
	// nowUnixMs is the time in all tests.
	nowUnixMs = 1e12
	dayMs     = 86400e3
	// unlimited is a size that no log of a test reaches.
	unlimited = 1 << 30
	// testIncarnation is the first incarnation in a directory.
	testIncarnation = 5
)

func unixMs() float64 { return nowUnixMs }

func bindEntry(key uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bind{Bind: &statepb.Bind{
		Key: key, Group: "once", Node: uint32(key % 7), Incarnation: testIncarnation, Workload: key, Number: number,
		ExpiresUnixMs: nowUnixMs + dayMs,
	}}}
}

func forgetEntry(key uint64, number uint32) *statepb.Entry {
	return ForgetEntry(key, testIncarnation, number)
}

func openLog(t require.TestingT, d Disk, maxSize int) (*Log, *Contents) {
	l, c, err := Open(d, &statepb.Incarnation{Number: testIncarnation, StartedUnixMs: nowUnixMs}, maxSize, unixMs)
	require.NoError(t, err)
	return l, c
}

// inspectAfterCrash crashes a disk, whose faults end, and returns what it holds then.
func inspectAfterCrash(t require.TestingT, d *MemoryDisk, message ...any) *Contents {
	d.Crash()
	d.Recover()
	d.InjectFault = nil
	c, err := Inspect(d)
	require.NoError(t, err, message...)
	return c
}

// describe lists binds in a form that can be compared.
func describe(binds []*statepb.Bind) string {
	var b bytes.Buffer
	for _, k := range binds {
		fmt.Fprintln(&b, k.Key, k.Number, k.ExpiresUnixMs)
	}
	return b.String()
}

// describeLive is describe for binds of which none has expired. It puts them in order by itself.
func describeLive(live liveBinds) string {
	l := maps.Clone(live)
	l.dropExpired(nowUnixMs)
	var binds []*statepb.Bind
	for _, key := range slices.Sorted(maps.Keys(l)) {
		binds = append(binds, l[key])
	}
	return describe(binds)
}
