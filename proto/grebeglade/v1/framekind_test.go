package pb

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFrameKind(t *testing.T) {
	for _, test := range []struct {
		name  string
		frame *Frame
		want  string
	}{
		{"field not renamed", &Frame{Body: &Frame_Withdraw{}}, "*pb.Frame_Withdraw"},
		{"renamed field", &Frame{Body: &Frame_PlaceRequest{}}, "*pb.Frame_Ask"},
		{"renamed field of two words", &Frame{Body: &Frame_OfferReply{}}, "*pb.Frame_OfferAnswer"},
		{"no body", &Frame{}, "<nil>"},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, FrameKind(test.frame))
		})
	}
}
