package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecode_InvalidPlan_NamesLine(t *testing.T) {
	for text, want := range map[string]string{
		"repeats = 0":     "x.hcl:1: repeats is 0",
		"factor \"f\" {}": `x.hcl:1: factor "f" has no level`,
		"factor \"f\" {\n level \"a\" {\n nodez = 3\n }\n}": "x.hcl:3: nodez is not a known argument; did you mean nodes?",
		"script = \"ruogh\"": `no script is named "ruogh"`,
		"factor \"f\" {\n level \"a\" {\n day {\n lod {}\n}\n}\n}":                                                "x.hcl:4: lod is not a known block",
		"factor \"f\" {\n level \"a\" {\n day {\n fault \"flood\" {}\n}\n}\n}":                                    `x.hcl:4: a fault of kind "flood" is not known`,
		"factor \"f\" {\n level \"a\" {\n build = \"HEAD\"\n}\n level \"b\" {\n day {\n length = \"3s\"\n}\n}\n}": "x.hcl:6: a day block beside a level with a build",
	} {
		_, err := Decode("x.hcl", []byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}
