package codec

import (
	"encoding/json"
	"fmt"

	"grebeglade/placement"
)

// EndpointUpdate is an event about nodes: a snapshot of the endpoint list, or a delta with the changed endpoints.
type EndpointUpdate struct {
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is the discovery service's entry for a node.
type Endpoint struct {
	Name       string
	Address    string
	Zone       string
	Kind       string
	Cell       uint16
	State      placement.NodeState
	StartedAt  placement.Millis // Unix time in ms; 0 if the node started long ago
	FreeCores  float64          // cores not requested by any workload; 0 if absent from the event
	FreeMemory float64          // memory not requested by any workload; 0 if absent from the event
}

// eventData is the part of an event's JSON that concerns nodes. Keys are matched case-insensitively.
type eventData struct {
	Hosts *struct { // nil if the event is not about nodes
		Snapshot  bool
		Endpoints []endpoint
	}
}

// endpoint is the JSON form of an Endpoint. Keys are matched case-insensitively.
type endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Status  string
	Group   uint16
	SinceMs float64   `json:"since_ms"`
	Room    []float64 // two elements: free cores, free memory
}

// nodeStates maps the protocol's names of node states to states.
var nodeStates = map[string]placement.NodeState{
	"Ready":       placement.Ready,
	"Terminating": placement.Draining,
	"Gone":        placement.Removed,
}

// DecodeEndpoints decodes the data of an Event. aboutNodes is false if the event does not concern nodes. If any
// endpoint is invalid, it returns an error for the whole event.
func DecodeEndpoints(data []byte) (update EndpointUpdate, aboutNodes bool, err error) {
	var decoded eventData
	if err := json.Unmarshal(data, &decoded); err != nil {
		return update, false, fmt.Errorf("%w: event: %w", ErrMalformed, err)
	}
	if decoded.Hosts == nil {
		return update, false, nil
	}
	update.Snapshot = decoded.Hosts.Snapshot
	update.Endpoints = make([]Endpoint, 0, len(decoded.Hosts.Endpoints))
	for i := range decoded.Hosts.Endpoints {
		node, err := decoded.Hosts.Endpoints[i].decode()
		if err != nil {
			return EndpointUpdate{}, false, err
		}
		update.Endpoints = append(update.Endpoints, node)
	}
	return update, true, nil
}

// decode validates an endpoint and converts it. If Room does not have two elements, the free capacity is 0.
func (e *endpoint) decode() (Endpoint, error) {
	state, ok := nodeStates[e.Status]
	if !ok {
		return Endpoint{}, &FieldError{
			Field: "status",
			Value: e.Status,
			Want:  "Ready, Terminating or Gone",
		}
	}
	if e.Name == "" {
		return Endpoint{}, &FieldError{Field: "name", Want: "the name of a node"}
	}
	decoded := Endpoint{
		Name:      e.Name,
		Address:   e.Address,
		Zone:      e.Zone,
		Kind:      e.Type,
		Cell:      e.Group,
		State:     state,
		StartedAt: placement.Millis(e.SinceMs),
	}
	if len(e.Room) == 2 {
		decoded.FreeCores = e.Room[0]
		decoded.FreeMemory = e.Room[1]
	}
	return decoded, nil
}
