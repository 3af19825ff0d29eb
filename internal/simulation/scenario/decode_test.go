package scenario

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleet has the blocks that every script needs: a kind of nodes in line 1, and a priority group in line 2.
const fleet = "kind \"k\" {}\ngroup \"g\" {}\n"

func TestDecode_ReportsProblemWithLine(t *testing.T) {
	for _, test := range []struct {
		name   string
		source string
		want   string
	}{
		{
			"unknown fault kind", `fault "flood" {}`,
			`x.hcl:3: a fault of kind "flood" is not known; name the block after a kind`,
		},
		{
			"share above one", "fault \"crash\" {\n part = 2\n}",
			"x.hcl:4: part is 2; write a number from 0 to 1",
		},
		{
			"unknown zone", "fault \"hall-cut\" {\n zone = \"x\"\n}",
			`x.hcl:4: zone "x" is not known`,
		},
		{
			"unknown group", "fault \"overrun\" {\n group = \"x\"\n}",
			`x.hcl:4: group "x" is not known`,
		},
		{
			"interval of zero", "fault \"stall\" {\n every = \"0s\"\n}",
			"x.hcl:4: every is not a positive time",
		},
		{
			"length of zero", `length = "0s"`,
			"x.hcl:3: length is not a positive time",
		},
		{
			"text in place of a number", "load {\n rate = \"fast\"\n}",
			"x.hcl:4: rate is not a number",
		},
		{
			"fault name used twice", "fault \"crash\" {}\nfault \"crash\" {}",
			`x.hcl:4: fault "crash" is already defined in line 3; give it another name`,
		},
		{
			"unknown argument", "fault \"second\" {\n kind = \"crash\"\n atx = \"5s\"\n}",
			"x.hcl:5: atx is not a known argument; did you mean at?",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := DecodeText("x.hcl", []byte(fleet+test.source))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestOpen_UnknownName_ListsKnownScripts(t *testing.T) {
	_, err := Open("ruogh")
	require.ErrorContains(t, err, `no script is named "ruogh"; known are allocator-death`)
}

func TestOpen_MissingFile_ErrorNamesOperation(t *testing.T) {
	_, err := Open("./missing.hcl")
	require.ErrorContains(t, err, "read the script: ")
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestOpen_EmbeddedName_DecodesScript(t *testing.T) {
	s, err := Open("rough")
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(s.About, "overlapping"))
}
