package storage

import (
	"bytes"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

const (
	// testFile and testNumber are the name and number of the decoded files.
	testFile   = "x"
	testNumber = 7
)

// encodedLog returns a log with the given number of binds, and the offset of the second record.
func encodedLog(tb testing.TB, binds int) (data []byte, second int) {
	tb.Helper()
	data = encodeHeader(testNumber)
	for i := range uint64(binds) {
		var err error
		data, err = appendRecord(data, bindEntry(i, 0))
		require.NoError(tb, err)
		if i == 0 {
			second = len(data)
		}
	}
	return data, second
}

// requireCorruption requires a *CorruptionError with the given offset and cause.
func requireCorruption(t *testing.T, err error, offset int, cause error) {
	t.Helper()
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
	assert.Equal(t, offset, corruption.Offset)
	require.ErrorIs(t, err, cause)
}

func TestDecodeLog_TruncatedAtEveryByte_KeepsCompleteRecords(t *testing.T) {
	data, second := encodedLog(t, 2)
	for size := range len(data) {
		entries := 0
		truncated, err := decodeLog(testFile, data[:size], testNumber, func(*statepb.Entry) { entries++ })
		require.NoError(t, err, "%d bytes", size)
		switch {
		case size < headerSize:
			assert.Equal(t, size, truncated, "%d bytes", size)
		case size < second:
			assert.Equal(t, size-headerSize, truncated, "%d bytes", size)
			assert.Zero(t, entries)
		default:
			assert.Equal(t, size-second, truncated, "%d bytes", size)
			assert.Equal(t, 1, entries)
		}
	}
}

func TestDecodeLog_Corrupt_ReturnsCause(t *testing.T) {
	const firstPayload = headerSize + recordHeaderSize
	for name, c := range map[string]struct {
		corrupt func(data []byte)
		offset  int
		cause   error
	}{
		"other magic":       {func(b []byte) { b[0] = 'x' }, 0, ErrNotStateFile},
		"header changed":    {func(b []byte) { b[checksumOffset] ^= 1 }, 0, ErrHeaderChecksum},
		"payload changed":   {func(b []byte) { b[firstPayload] ^= 1 }, headerSize, ErrRecordChecksum},
		"length beyond end": {func(b []byte) { b[headerSize+1] = 1 }, headerSize, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			data, _ := encodedLog(t, 3)
			c.corrupt(data)
			_, err := decodeLog(testFile, data, testNumber, func(*statepb.Entry) {})
			requireCorruption(t, err, c.offset, c.cause)
		})
	}
}

func TestDecodeSnapshot_Corrupt_ReturnsCause(t *testing.T) {
	live := liveBinds{1: bindEntry(1, 0).GetBind()}
	complete, err := encodeSnapshot(testNumber, &statepb.Incarnation{Number: 5}, live)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		data   []byte
		offset int
		cause  error
	}{
		"truncated header": {complete[:headerSize-1], headerSize - 1, ErrTruncated},
		"truncated record": {complete[:len(complete)-1], headerSize, ErrTruncated},
		"trailing byte":    {append(bytes.Clone(complete), 0), len(complete), ErrTrailingBytes},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeSnapshot(testFile, c.data, testNumber)
			requireCorruption(t, err, c.offset, c.cause)
		})
	}
}

// Guards against decoding that does not terminate, or that returns more data than the log has, for arbitrary input.
func FuzzDecodeLog(f *testing.F) {
	valid, _ := encodedLog(f, 4)
	f.Add(valid)
	f.Add(valid[:len(valid)-5])
	f.Add(encodeHeader(testNumber))
	f.Add([]byte{})
	f.Add(append(bytes.Clone(valid[:60]), valid...))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded := 0
		truncated, err := decodeLog(testFile, data, testNumber, func(entry *statepb.Entry) {
			decoded += recordHeaderSize + proto.Size(entry)
		})
		if err == nil && truncated > len(data) {
			t.Fatal("truncated size exceeds the size of the log")
		}
		if err == nil && truncated == 0 && len(data) > 0 && decoded > len(data)-headerSize {
			t.Fatal("decoded size exceeds the size of the log")
		}
	})
}
