package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// invalidPlans are plans, each with the problem that decoding must report.
var invalidPlans = []struct {
	name    string
	plan    string
	problem string
}{
	{
		name:    "argument out of range",
		plan:    `repeats = 0`,
		problem: "x.hcl:1: repeats is 0",
	},
	{
		name:    "factor without levels",
		plan:    `factor "f" {}`,
		problem: `x.hcl:1: factor "f" has no level`,
	},
	{
		name: "unknown argument",
		plan: `factor "f" {
				level "a" {
					nodez = 3
				}
			}`,
		problem: "x.hcl:3: nodez is not a known argument; did you mean nodes?",
	},
	{
		name:    "unknown script",
		plan:    `script = "ruogh"`,
		problem: `no script is named "ruogh"`,
	},
	{
		name: "unknown block of a scenario",
		plan: `factor "f" {
				level "a" {
					day {
						lod {}
					}
				}
			}`,
		problem: "x.hcl:4: lod is not a known block",
	},
	{
		name: "unknown kind of fault",
		plan: `factor "f" {
				level "a" {
					day {
						fault "flood" {}
					}
				}
			}`,
		problem: `x.hcl:4: a fault of kind "flood" is not known`,
	},
	{
		name: "build and day block in one plan",
		plan: `factor "f" {
				level "a" {
					build = "HEAD"
				}
				level "b" {
					day {
						length = "3s"
					}
				}
			}`,
		problem: "x.hcl:6: a day block in a plan with a build",
	},
}

func TestDecode_InvalidPlan_ReportsLine(t *testing.T) {
	for _, test := range invalidPlans {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode("x.hcl", []byte(test.plan))
			assert.ErrorContains(t, err, test.problem, test.plan)
		})
	}
}
