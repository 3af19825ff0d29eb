package codec

import (
	"encoding/json"
	"fmt"

	"grebeglade/placement"
)

// EndpointUpdate is an event about nodes: a snapshot of the list, or the endpoints that have changed.
type EndpointUpdate struct {
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is a node as the discovery service describes it.
type Endpoint struct {
	Name       string
	Address    string
	Zone       string
	Kind       string
	Cell       uint16
	State      placement.NodeState
	StartedAt  placement.Millis // Unix time in ms; 0 if it has run for long
	FreeCores  float64          // not requested by any workload; 0 if the event does not state it
	FreeMemory float64
}

// eventData is the data of an Event, as far as it is about nodes. Keys match without regard to case.
type eventData struct {
	Hosts *struct { // nil if the event is not about nodes
		Snapshot  bool
		Endpoints []endpoint
	}
}

// endpoint is an Endpoint in the encoding of the discovery service. Keys match without regard to case.
type endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Status  string
	Group   uint16
	SinceMs float64   `json:"since_ms"`
	Room    []float64 // free cores and free memory
}

// nodeStates are the states of nodes by their names in the protocol.
var nodeStates = map[string]placement.NodeState{
	"Ready":       placement.Ready,
	"Terminating": placement.Draining,
	"Gone":        placement.Removed,
}

// DecodeEndpoints decodes the data of an Event. It returns false if the event is not about nodes.
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

// decode checks an endpoint. Capacity that is not two numbers counts as none.
func (e *endpoint) decode() (Endpoint, error) {
	state, known := nodeStates[e.Status]
	if !known {
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
