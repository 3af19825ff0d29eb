package pb

import "strings"

// frameKindPrefix comes before the kind of a frame in refusals, error texts and audit findings.
const frameKindPrefix = "*pb.Frame_"

// FrameKind returns the kind of a frame as refusals, error texts and audit findings name it: by the JSON key of the
// body, which stays when a field of the protocol is renamed.
func FrameKind(f *Frame) string {
	message := f.ProtoReflect()
	body := message.WhichOneof(message.Descriptor().Oneofs().ByName("body"))
	if body == nil {
		return "<nil>"
	}
	key := body.JSONName()
	return frameKindPrefix + strings.ToUpper(key[:1]) + key[1:]
}
