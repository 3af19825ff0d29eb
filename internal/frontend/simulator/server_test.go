package simulator

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testInstance = 3 // instance number
	testNode     = 9 // id of the only node
	testWorkload = 6
)

// testSettings are the settings of a fleet with one allocator, one class and two kinds of nodes.
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

// encodeRecord returns a record for testInstance with the given fields after the instance number.
func encodeRecord(t *testing.T, code requestCode, fields ...any) []byte {
	t.Helper()
	body := binary.BigEndian.AppendUint16(nil, testInstance)
	for _, field := range fields {
		var err error
		body, err = binary.Append(body, binary.BigEndian, field)
		require.NoError(t, err)
	}
	return encodeRecordBody(code, body)
}

// encodeRecordBody returns a record with the given body, which for most codes begins with an instance number.
func encodeRecordBody(code requestCode, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{uint8(code)}, uint32(len(body)))
	return append(b, body...)
}

// encodeBatch returns a batch of records with the time 8 s.
func encodeBatch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(body)))
	b = binary.BigEndian.AppendUint64(b, 8_000_000_000)
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

// encodeStart returns a record that starts testInstance.
func encodeStart(t *testing.T, settings string) []byte {
	t.Helper()
	return encodeRecord(t, codeInstanceStart, uint64(5), uint32(len(settings)), []byte(settings))
}

// encodeNodeList returns a record with node list 0, which has one ready node of kind 0.
func encodeNodeList() []byte {
	b := binary.BigEndian.AppendUint32(nil, 0)
	b = binary.BigEndian.AppendUint32(b, 1)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(12)) // free cores
	b = binary.BigEndian.AppendUint32(b, testNode)
	b = append(b, 0, 0)                                        // zone
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(12)) // free memory
	b = append(b, 0, 0, 1, nodeReady)                          // kind, cell, state
	b = append(b, make([]byte, weightSize+8)...)               // weight, start time
	return encodeRecordBody(codeNodeList, b)
}

// encodePlaceRequest returns a record that requests testWorkload.
func encodePlaceRequest(t *testing.T) []byte {
	t.Helper()
	const (
		group          = uint16(0)
		tenant         = uint16(0)
		requestKey     = uint64(77)
		pendingTimeout = uint64(6e9)
		duration       = uint64(0)
		service        = uint64(4)
		cores          = float32(1)
		memory         = float32(1)
		options        = uint8(0)
	)
	return encodeRecord(t, codePlaceRequest, uint32(testWorkload), group, tenant, requestKey,
		pendingTimeout, duration, service, cores, memory, options)
}

// encodeNodeUpdate returns an update of the given kind that refers to node list 0.
func encodeNodeUpdate(t *testing.T, kind uint8) []byte {
	t.Helper()
	return encodeRecord(t, codeNodeUpdate, kind, uint64(1), uint32(0))
}

// serve runs Serve on an input and returns its output.
func serve(input []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(input), &out)
	return out.Bytes(), err
}

// countRecords counts the records in a reply with the given code and size, which excludes the record header.
func countRecords(out []byte, code replyCode, size uint8) int {
	return bytes.Count(out, []byte{uint8(code), 0, 0, 0, size})
}

// Sizes of reply records, without the record header, in bytes.
const (
	bindSize          = 18
	rejectSize        = 14
	unschedulableSize = 6
)

func TestServe_PlaceRequest_Bound(t *testing.T) {
	out, err := serve(encodeBatch(
		encodeStart(t, testSettings), encodeNodeList(), encodeNodeUpdate(t, updateCached), encodePlaceRequest(t)))
	require.NoError(t, err)
	assert.Contains(t, string(out), string([]byte{
		uint8(codeBind), 0, 0, 0, bindSize, 0, testInstance, 0, 0, 0, testWorkload, 0, 0, 0, testNode,
	}))
}

func TestServe_UnknownAndUnexpectedRecords_Skipped(t *testing.T) {
	accepted := encodeRecord(t, codeBindAccepted, uint32(testWorkload), uint8(0), uint32(testNode), uint64(1))
	withdrawn := encodeRecord(t, codeWithdrawal, uint32(testWorkload))
	ended := encodeRecord(t, codeBindEnded, uint32(testWorkload), uint8(1), uint8(0), uint32(0), uint8(0), uint64(1),
		uint32(testNode), uint8(0))
	unknown := encodeRecord(t, 99, uint32(1))
	out, err := serve(append(
		encodeBatch(encodeStart(t, testSettings), encodeNodeList(), encodeNodeUpdate(t, updateCached), unknown,
			accepted, withdrawn, encodePlaceRequest(t)),
		encodeBatch(accepted, accepted, withdrawn, ended, ended, withdrawn)...))
	require.NoError(t, err)
	assert.Equal(t, 1, countRecords(out, codeBind, bindSize))
	assert.Zero(t, countRecords(out, codeReject, rejectSize))
	assert.Zero(t, countRecords(out, codeUnschedulable, unschedulableSize))
}

func TestServe_InstanceStopped_NotServed(t *testing.T) {
	out, err := serve(encodeBatch(
		encodeStart(t, testSettings), encodeNodeList(), encodeNodeUpdate(t, updateCached),
		encodeRecord(t, codeInstanceStop), encodePlaceRequest(t)))
	require.NoError(t, err)
	assert.Zero(t, countRecords(out, codeBind, bindSize))
}

// malformedInput is an input that Serve cannot decode.
type malformedInput struct {
	input     []byte
	wantError string
}

func TestServe_MalformedBatch_ErrorDescribesTheFault(t *testing.T) {
	complete := encodeBatch(encodeStart(t, testSettings), encodeNodeList())
	for name, c := range map[string]malformedInput{
		"truncated body":           {complete[:len(complete)-3], "batch truncated"},
		"truncated header":         {complete[:5], "batch header truncated"},
		"too large":                {[]byte{0xff, 0xff, 0xff, 0xff}, "batch size of 4294967295 bytes"},
		"header without the count": {encodeBatch()[:12], "batch header truncated"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(c.input)
			require.ErrorContains(t, err, c.wantError)
			var inRecord *RecordError
			assert.NotErrorAs(t, err, &inRecord)
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

func TestServe_MalformedRecord_ErrorLocatesTheRecord(t *testing.T) {
	oversized := encodeBatch(encodeRecord(t, codeWithdrawal, uint32(testWorkload)))
	binary.BigEndian.PutUint32(oversized[batchHeaderSize+1:], 1<<30)
	oversizedCount := encodeNodeList()
	binary.BigEndian.PutUint32(oversizedCount[recordHeaderSize+4:], 1<<31)
	shortRecord := encodeRecord(t, codeNodeUpdate, uint8(0))
	manyAllocators := strings.Replace(testSettings, "balancers=1", "balancers=many", 1)
	for name, c := range map[string]malformedInput{
		"larger than its batch": {oversized, "record 0 (code 10) at byte 16: record size is 1073741824 bytes"},
		"list longer than its record": {
			encodeBatch(oversizedCount), "record 0 (code 7) at byte 16: count of 2147483648 elements",
		},
		"too small": {
			encodeBatch(encodeStart(t, testSettings), encodeNodeList(), shortRecord), "record 2 (code 9)",
		},
		"list never sent": {
			encodeBatch(encodeStart(t, testSettings), encodeNodeUpdate(t, updateDelta)), "node list 0 was never sent",
		},
		"setting missing":     {encodeBatch(encodeStart(t, "zone=0")), "setting balancers is missing"},
		"setting not numeric": {encodeBatch(encodeStart(t, manyAllocators)), `setting balancers is "many"`},
		"no instance number": {
			encodeBatch(encodeRecordBody(codeWithdrawal, []byte{0})), "record 0 (code 10) at byte 16: field of 2 bytes",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(c.input)
			require.ErrorContains(t, err, c.wantError)
			var inRecord *RecordError
			require.ErrorAs(t, err, &inRecord)
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

func TestServe_InputEndsAfterASizeField_NoError(t *testing.T) {
	complete := encodeBatch(encodeStart(t, testSettings))
	_, err := serve(complete[:sizeFieldLength])
	require.NoError(t, err, "the adapter exits with success, as when the input ends between two batches")
}
