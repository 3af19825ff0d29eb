package storage

import (
	"bytes"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// encodedLog returns a log with some binds, and the offset of the second one.
func encodedLog(tb testing.TB, number uint64, binds int) (data []byte, second int) {
	tb.Helper()
	data = encodeHeader(number)
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

func TestDecodeLog_TruncatedAtEveryByte_KeepsCompleteRecords(t *testing.T) {
	data, second := encodedLog(t, 7, 2)
	for size := range len(data) {
		entries := 0
		truncated, err := decodeLog("x", data[:size], 7, func(*statepb.Entry) { entries++ })
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
	for name, c := range map[string]struct {
		corrupt func(data []byte)
		offset  int
		cause   error
	}{
		"other magic":       {func(b []byte) { b[0] = 'x' }, 0, ErrNotStateFile},
		"header changed":    {func(b []byte) { b[checksumOffset] ^= 1 }, 0, ErrHeaderChecksum},
		"payload changed":   {func(b []byte) { b[headerSize+recordHeaderSize] ^= 1 }, headerSize, ErrRecordChecksum},
		"length beyond end": {func(b []byte) { b[headerSize+1] = 1 }, headerSize, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			data, _ := encodedLog(t, 7, 3)
			c.corrupt(data)
			_, err := decodeLog("x", data, 7, func(*statepb.Entry) {})
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption)
			assert.Equal(t, c.offset, corruption.Offset)
			require.ErrorIs(t, err, c.cause)
		})
	}
}

func TestDecodeSnapshot_Corrupt_ReturnsCause(t *testing.T) {
	whole, err := encodeSnapshot(7, &statepb.Incarnation{Number: 5}, liveBinds{1: bindEntry(1, 0).GetBind()})
	require.NoError(t, err)
	for name, c := range map[string]struct {
		data   []byte
		offset int
		cause  error
	}{
		"truncated header": {whole[:headerSize-1], headerSize - 1, ErrTruncated},
		"truncated record": {whole[:len(whole)-1], headerSize, ErrTruncated},
		"trailing byte":    {append(bytes.Clone(whole), 0), len(whole), ErrTrailingBytes},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeSnapshot("x", c.data, 7)
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption)
			assert.Equal(t, c.offset, corruption.Offset)
			require.ErrorIs(t, err, c.cause)
		})
	}
}

// Whatever a log holds, decoding ends, and no more is decoded than there is.
func FuzzDecodeLog(f *testing.F) {
	b, _ := encodedLog(f, 7, 4)
	f.Add(b)
	f.Add(b[:len(b)-5])
	f.Add(encodeHeader(7))
	f.Add([]byte{})
	f.Add(append(bytes.Clone(b[:60]), b...))
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded := 0
		truncated, err := decodeLog("x", b, 7, func(e *statepb.Entry) { decoded += recordHeaderSize + proto.Size(e) })
		if err == nil && truncated > len(b) {
			t.Fatal("more is truncated than there is")
		}
		if err == nil && truncated == 0 && len(b) > 0 && decoded > len(b)-headerSize {
			t.Fatal("more was decoded than there is")
		}
	})
}
