package scenario

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDecode_ReportsProblemWithLine(t *testing.T) {
	base := "kind \"k\" {}\ngroup \"g\" {}\n"
	for src, want := range map[string]string{
		"fault \"flood\" {}":                                      `x.hcl:3: a fault of kind "flood" is not known; give it the name of a kind`,
		"fault \"crash\" {\n part = 2\n}":                         "x.hcl:4: part is 2; write a number from 0 to 1",
		"fault \"hall-cut\" {\n zone = \"x\"\n}":                  `x.hcl:4: zone "x" is not known`,
		"fault \"overrun\" {\n group = \"x\"\n}":                  `x.hcl:4: group "x" is not known`,
		"fault \"stall\" {\n every = \"0s\"\n}":                   "x.hcl:4: every is no time",
		"length = \"0s\"":                                         "x.hcl:3: the day has no length",
		"load {\n rate = \"fast\"\n}":                             "x.hcl:4: rate is not a number",
		"fault \"crash\" {}\nfault \"crash\" {}":                  `x.hcl:4: fault "crash" is already defined in line 3; give it another name`,
		"fault \"second\" {\n kind = \"crash\"\n atx = \"5s\"\n}": "x.hcl:5: atx is not a known argument; did you mean at?",
	} {
		_, err := DecodeText("x.hcl", []byte(base+src))
		require.ErrorContains(t, err, want, src)
	}
	_, err := Open("ruogh")
	require.ErrorContains(t, err, `no script is named "ruogh"; known are allocator-death`)
	s, err := Open("rough")
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(s.About, "overlapping"))
}
