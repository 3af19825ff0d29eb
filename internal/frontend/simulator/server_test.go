package simulator

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testInstance = 3

const testSettings = `balancers=1
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

// encodeRecord returns a record of the test's instance whose fields follow in order.
func encodeRecord(t *testing.T, code requestCode, fields ...any) []byte {
	t.Helper()
	body := binary.BigEndian.AppendUint16(nil, testInstance)
	for _, f := range fields {
		var err error
		body, err = binary.Append(body, binary.BigEndian, f)
		require.NoError(t, err)
	}
	return encodeRecordBody(code, body)
}

func encodeRecordBody(code requestCode, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{uint8(code)}, uint32(len(body)))
	return append(b, body...)
}

func encodeBatch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(body)))
	b = binary.BigEndian.AppendUint64(b, 8_000_000_000)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func encodeAttach(t *testing.T, settings string) []byte {
	t.Helper()
	return encodeRecord(t, codeAttach, uint64(5), uint32(len(settings)), []byte(settings))
}

// encodeSheet returns list 0 with one ready node 9 of kind 0.
func encodeSheet() []byte {
	b := binary.BigEndian.AppendUint32(nil, 0)
	b = binary.BigEndian.AppendUint32(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0x41400000) // 12 cores free
	b = binary.BigEndian.AppendUint32(b, 9)
	b = append(b, 0, 0, 0x41, 0x40, 0, 0, 0, 0, 1, 1) // zone, 12 of memory free, kind, cell, ready
	return encodeRecordBody(codeSheet, append(b, make([]byte, 12)...))
}

func encodeNewTask(t *testing.T, id uint32) []byte {
	t.Helper()
	return encodeRecord(t, codeNewTask, id, uint32(0), uint64(77), uint64(6e9), uint64(0), uint64(4), float32(1), float32(1), uint8(0))
}

func encodeDirectory(t *testing.T, kind uint8) []byte {
	t.Helper()
	return encodeRecord(t, codeDirectory, kind, uint64(1), uint32(0))
}

// serve returns what Serve writes in answer to an input.
func serve(input []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(input), &out)
	return out.Bytes(), err
}

func TestServe_NewTask_IsBound(t *testing.T) {
	out, err := serve(encodeBatch(encodeAttach(t, testSettings), encodeSheet(), encodeDirectory(t, 3), encodeNewTask(t, 6)))
	require.NoError(t, err)
	assert.Contains(t, string(out), string([]byte{uint8(codeBind), 0, 0, 0, 18, 0, testInstance, 0, 0, 0, 6, 0, 0, 0, 9}))
}

func TestServe_UnknownAndUnexpectedRecords_AreSkipped(t *testing.T) {
	landed := encodeRecord(t, codeLanded, uint32(6), uint8(0), uint32(9), uint64(1))
	dropped := encodeRecord(t, codeDropped, uint32(6))
	settled := encodeRecord(t, codeSettled, uint32(6), uint8(1), uint8(0), uint32(0), uint8(0), uint64(1), uint32(9), uint8(0))
	out, err := serve(append(
		encodeBatch(encodeAttach(t, testSettings), encodeSheet(), encodeDirectory(t, 3), encodeRecord(t, 99, uint32(1)),
			landed, dropped, encodeNewTask(t, 6)),
		encodeBatch(landed, landed, dropped, settled, settled, dropped)...))
	require.NoError(t, err)
	assert.Equal(t, 1, bytes.Count(out, []byte{uint8(codeBind), 0, 0, 0, 18}))
	assert.Zero(t, bytes.Count(out, []byte{uint8(codePushBack), 0, 0, 0, 14}))
	assert.Zero(t, bytes.Count(out, []byte{uint8(codeAbort), 0, 0, 0, 6}))
}

func TestServe_PoweredOffInstance_IsNotServed(t *testing.T) {
	out, err := serve(encodeBatch(encodeAttach(t, testSettings), encodeSheet(), encodeDirectory(t, 3),
		encodeRecord(t, codePowerOff), encodeNewTask(t, 6)))
	require.NoError(t, err)
	assert.Zero(t, bytes.Count(out, []byte{uint8(codeBind), 0, 0, 0, 18}))
}

func TestServe_MalformedInput_IsNamed(t *testing.T) {
	whole := encodeBatch(encodeAttach(t, testSettings), encodeSheet())
	long := encodeBatch(encodeRecord(t, codeDropped, uint32(6)))
	binary.BigEndian.PutUint32(long[17:], 1<<30)
	overrun := encodeSheet()
	binary.BigEndian.PutUint32(overrun[9:], 1<<31)
	for name, c := range map[string]struct {
		input    []byte
		want     string
		inRecord bool // whether the batch is whole, and one of its records is not
	}{
		"cut short":            {whole[:len(whole)-3], "cut short", false},
		"cut in its header":    {whole[:5], "cut short", false},
		"oversized frame":      {[]byte{0xff, 0xff, 0xff, 0xff}, "claims 4294967295 bytes", false},
		"oversized record":     {long, "record 0 (code 10) at byte 16: claims 1073741824 bytes", true},
		"too many records":     {encodeBatch()[:12], "cut short", false},
		"count overruns":       {encodeBatch(overrun), "record 0 (code 7) at byte 16: counts 2147483648 elements", true},
		"record too small":     {encodeBatch(encodeAttach(t, testSettings), encodeSheet(), encodeRecord(t, codeDirectory, uint8(0))), "record 2 (code 9)", true},
		"list never sent":      {encodeBatch(encodeAttach(t, testSettings), encodeDirectory(t, 0)), "list 0, which was never sent", true},
		"setting missing":      {encodeBatch(encodeAttach(t, "zone=0")), "setting balancers is missing", true},
		"setting not numeric":  {encodeBatch(encodeAttach(t, "balancers=many\n"+testSettings[12:])), `setting balancers is "many"`, true},
		"no room for instance": {encodeBatch(encodeRecordBody(codeDropped, []byte{0})), "record 0 (code 10) at byte 16: needs 2 bytes", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(c.input)
			require.ErrorContains(t, err, c.want)
			var inRecord *RecordError
			assert.Equal(t, c.inRecord, errors.As(err, &inRecord))
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

func TestServe_InputEndsBehindTheSizeOfABatch(t *testing.T) {
	whole := encodeBatch(encodeAttach(t, testSettings))
	_, err := serve(whole[:4])
	require.NoError(t, err, "as at the end of the input between two batches")
}
