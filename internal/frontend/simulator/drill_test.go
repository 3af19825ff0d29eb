package simulator

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const told = `balancers=1
ordinal=0
zone=0
contract.cold_ns=17000000000
contract.cold_from=0.28
contract.overload_for_ns=2000000000
family_info.cold_bears=54.0
family_info.confirms=running
family_info.report_counts=used
family_info.free_in_list=true
family_info.kind_cores=20,40
family_info.memory_by_kind=40.0,80.0
family_info.apart_by=off
family_info.spread_most=2
family_info.calm_level=0.8
family_info.lost_after=0.15
family_info.kind_by_class=-1
permissions.most_tries=4
permissions.probes=true
discovery=automatic
report.fields=x0,x1,backlog
request_classes.count=1
request_classes.0.aim_ns=1000000000
request_classes.0.effect=read_like
request_classes.0.value=1.0
a.later.key=7
`

// rec is a record whose fields follow in order.
func rec(code uint8, parts ...any) []byte {
	var p reply
	p.record(code, 3, parts...)
	return p.b
}

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(body)))
	b = binary.BigEndian.AppendUint64(b, 8_000_000_000)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func attach(text string) []byte {
	b := rec(inAttach, uint64(5), uint32(len(text)))
	b = append(b, text...)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-5))
	return b
}

// sheet is list 0 with one ready machine 9 of kind 0, given as its fields are laid out.
func sheet() []byte {
	b := binary.BigEndian.AppendUint32([]byte{inSheet, 0, 0, 0, 38}, 0)
	b = binary.BigEndian.AppendUint32(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0x41400000) // 12 cores free
	b = binary.BigEndian.AppendUint32(b, 9)
	b = append(b, 0, 0, 0x41, 0x40, 0, 0, 0, 0, 1, 1) // zone, 12 of memory free, kind, cell, ready
	return append(b, make([]byte, 12)...)
}

func newTask(id uint32) []byte {
	return rec(inNewTask, id, uint32(0), uint64(77), uint64(6e9), uint64(0), uint64(4), uint32(0x3f800000),
		uint32(0x3f800000), uint8(0))
}

func directory(kind uint8) []byte { return rec(inDirectory, kind, uint64(1), uint32(0)) }

func serve(t *testing.T, input []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(input), &out)
	return out.Bytes(), err
}

func TestServeBindsANewTaskAndEndsWithItsInput(t *testing.T) {
	out, err := serve(t, batch(attach(told), sheet(), directory(3), newTask(6)))
	require.NoError(t, err)
	assert.Contains(t, string(out), string([]byte{outBind, 0, 0, 0, 18, 0, 3, 0, 0, 0, 6, 0, 0, 0, 9}))
}

func TestServeSkipsUnknownRecordsAndOddEvents(t *testing.T) {
	landed := rec(inLanded, uint32(6), uint8(0), uint32(9), uint64(1))
	dropped := rec(inDropped, uint32(6))
	settled := rec(inSettled, uint32(6), uint8(1), uint8(0), uint32(0), uint8(0), uint64(1), uint32(9), uint8(0))
	out, err := serve(t, append(
		batch(attach(told), sheet(), directory(3), rec(99, uint32(1)), landed, dropped, newTask(6)),
		batch(landed, landed, dropped, settled, settled, dropped)...))
	require.NoError(t, err)
	assert.Equal(t, 1, bytes.Count(out, []byte{outBind, 0, 0, 0, 18}))
	assert.Zero(t, bytes.Count(out, []byte{outPushBack, 0, 0, 0, 14}))
	assert.Zero(t, bytes.Count(out, []byte{outAbort, 0, 0, 0, 6}))
}

func TestServeNamesWhatIsMalformed(t *testing.T) {
	whole := batch(attach(told), sheet())
	long := batch(rec(inDropped, uint32(6)))
	binary.BigEndian.PutUint32(long[17:], 1<<30)
	overrun := sheet()
	binary.BigEndian.PutUint32(overrun[9:], 1<<31)
	for name, c := range map[string]struct {
		input []byte
		want  string
	}{
		"cut short":           {whole[:len(whole)-3], "cut short"},
		"oversized frame":     {[]byte{0xff, 0xff, 0xff, 0xff}, "claims 4294967295 bytes"},
		"oversized record":    {long, "record 0 (code 10) at byte 16: claims 1073741824 bytes"},
		"too many records":    {batch()[:12], "cut short"},
		"count overruns":      {batch(overrun), "record 0 (code 7) at byte 16: counts 2147483648 elements"},
		"record too small":    {batch(attach(told), sheet(), rec(inDirectory, uint8(0))), "record 2 (code 9)"},
		"list never sent":     {batch(attach(told), directory(0)), "list 0, which was never sent"},
		"setting missing":     {batch(attach("zone=0")), "setting balancers is missing"},
		"setting not numeric": {batch(attach("balancers=many\n" + told[12:])), `setting balancers is "many"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, c.input)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
