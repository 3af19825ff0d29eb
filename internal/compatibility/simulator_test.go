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

// replyHeadSize is what stands in front of a reply's records: their number and their length.
const replyHeadSize = 8

func TestSimulator_AnswersAsStored(t *testing.T) {
	var input, output bytes.Buffer
	for _, line := range storedLines(t, "simulator/batches.txt") {
		b, err := hex.DecodeString(line)
		require.NoError(t, err)
		input.Write(b)
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
