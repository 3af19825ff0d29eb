package codec

import (
	"encoding/json"
	"fmt"

	"grebeglade/placement"
)

// EndpointUpdate is an event about the list of nodes: the whole list, or what has changed in it.
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

// endpoint is an Endpoint in the encoding of the discovery service. Names match without regard to case.
type endpoint struct {
	Name, Address, Zone, Type, Status string
	Group                             uint16
	SinceMs                           float64 `json:"since_ms"`
	Room                              []float64
}

var nodeStates = map[string]placement.NodeState{"Ready": placement.Ready, "Terminating": placement.Draining, "Gone": placement.Removed}

// DecodeEndpoints decodes the data of an Event. It returns false if the event is not about nodes.
func DecodeEndpoints(data []byte) (update EndpointUpdate, ok bool, err error) {
	var event struct {
		Hosts *struct {
			Snapshot  bool
			Endpoints []endpoint
		}
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return update, false, fmt.Errorf("%w: event: %w", ErrMalformed, err)
	}
	if event.Hosts == nil {
		return update, false, nil
	}
	update.Snapshot = event.Hosts.Snapshot
	update.Endpoints = make([]Endpoint, 0, len(event.Hosts.Endpoints))
	for i := range event.Hosts.Endpoints {
		e, err := event.Hosts.Endpoints[i].decode()
		if err != nil {
			return EndpointUpdate{}, false, err
		}
		update.Endpoints = append(update.Endpoints, e)
	}
	return update, true, nil
}

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
