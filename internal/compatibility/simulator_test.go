package compatibility_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"grebeglade/internal/frontend/simulator"

	"github.com/stretchr/testify/require"
)

// replyHeadSize is the size of a reply's header in bytes: the number of its records and their total length.
const replyHeadSize = 8

func TestSimulator_StoredBatches_AnsweredAsStored(t *testing.T) {
	var input, output bytes.Buffer
	for _, line := range storedLines(t, "simulator/batches.txt") {
		batch, err := hex.DecodeString(line)
		require.NoError(t, err)
		input.Write(batch)
	}
	require.NoError(t, simulator.Serve(&input, &output))
	var text strings.Builder
	for rest := output.Bytes(); len(rest) > 0; {
		require.GreaterOrEqual(t, len(rest), replyHeadSize)
		size := replyHeadSize + int(binary.BigEndian.Uint32(rest[4:]))
		require.GreaterOrEqual(t, len(rest), size)
		fmt.Fprintf(&text, "%x\n", rest[:size])
		rest = rest[size:]
	}
	compareWithStored(t, "simulator/replies.txt", text.String())
}
