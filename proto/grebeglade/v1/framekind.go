package pb

import "strings"

// frameKindPrefix precedes the frame kind in refusals, error texts and audit findings.
const frameKindPrefix = "*pb.Frame_"

// FrameKind returns the kind of a frame as used in refusals, error texts and audit findings, or "<nil>" for a frame
// without a body. The kind is derived from the JSON key of the body, which does not change when a field is renamed.
func FrameKind(f *Frame) string {
	message := f.ProtoReflect()
	body := message.WhichOneof(message.Descriptor().Oneofs().ByName("body"))
	if body == nil {
		return "<nil>"
	}
	key := body.JSONName()
	return frameKindPrefix + strings.ToUpper(key[:1]) + key[1:]
}
