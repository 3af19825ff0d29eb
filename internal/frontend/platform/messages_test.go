package platform

import (
	"fmt"
	"strings"

	"grebeglade/internal/frontend/platform/codec"
)

// request returns a request for a small workload of the class tiles, modified by changes.
func request(tag codec.Tag, changes ...func(*codec.PlaceRequest)) *codec.PlaceRequest {
	place := &codec.PlaceRequest{
		Header: codec.Header{Tag: tag},
		Task: codec.Task{
			Class:       "tiles",
			Key:         "00000000000000aa",
			Description: "of " + tag.String(),
			Cores:       1,
			Memory:      2,
			Service:     7,
		},
		Timeout: requestTimeout,
	}
	for _, change := range changes {
		change(place)
	}
	return place
}

// requestTimeout is the timeout of a request, in ms.
const requestTimeout = 2000

// atMostOnce changes the class of a request to trace, whose workloads must not run twice.
func atMostOnce(place *codec.PlaceRequest) { place.Class = "trace" }

// adoptRequest returns a request to adopt the workload with the given tag, which runs on the given node.
func adoptRequest(tag codec.Tag, node string) *codec.AdoptRequest {
	place := request(tag)
	return &codec.AdoptRequest{
		Header: place.Header,
		Task:   place.Task,
		Node:   node,
	}
}

// confirmation returns a node's confirmation of the workload with the given tag.
func confirmation(tag codec.Tag) *codec.Confirmation {
	return codec.NewConfirmation(tag, "at "+tag.String())
}

// sentMessage describes a sent message.
type sentMessage struct {
	kind  string
	cause codec.Cause // set for terminations only
}

var (
	anOffer       = sentMessage{kind: "offer"}
	aConfirmation = sentMessage{kind: "confirmation"}
	aMigration    = sentMessage{kind: "migration"}
)

func aTermination(cause codec.Cause) sentMessage {
	return sentMessage{kind: "termination", cause: cause}
}

// sentMessageOf returns the description of a message.
func sentMessageOf(message codec.Message) sentMessage {
	switch message := message.(type) {
	case *codec.Termination:
		return aTermination(message.Cause)
	case *codec.Offer:
		return anOffer
	case *codec.Confirmation:
		return aConfirmation
	case *codec.Migration:
		return aMigration
	default:
		return sentMessage{kind: fmt.Sprintf("%T", message)}
	}
}

// nodeEvent returns an event with the given status of the harness's node. It is a snapshot if its revision is 1.
// startedAt is Unix time in ms, or 0.
func nodeEvent(revision int, status string, startedAt float64) []byte {
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"index":%d,"snapshot":%t,"endpoints":[{"name":%q,"address":%q,`+
		`"zone":"z","type":"small","group":0,"status":%q,"weight":1,"since_ms":%f,"room":[20,40]}]}}`,
		revision, revision, revision == 1, nodeName, nodeAddr, status, startedAt)
}

// readyEndpoint returns the JSON of an endpoint that is ready, with all cores and memory free.
func readyEndpoint(name, addr string) string {
	return fmt.Sprintf(
		`{"name":%q,"address":%q,"zone":"z","type":"small","group":0,"status":"Ready","room":[20,40]}`, name, addr)
}

// snapshotEvent returns an event with a snapshot of the endpoint list.
func snapshotEvent(endpoints ...string) []byte {
	return fmt.Appendf(nil, `{"hosts":{"snapshot":true,"endpoints":[%s]}}`, strings.Join(endpoints, ","))
}

// deltaEvent returns an event with the changed endpoints.
func deltaEvent(endpoints ...string) []byte {
	return fmt.Appendf(nil, `{"hosts":{"endpoints":[%s]}}`, strings.Join(endpoints, ","))
}

// batchOf returns a batch with one event.
func batchOf(revision uint64, data []byte) *codec.EventBatch {
	return &codec.EventBatch{Events: []codec.Event{{Revision: revision, Data: data}}}
}
