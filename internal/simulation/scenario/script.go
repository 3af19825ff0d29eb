// Package scenario reads the scripts of simulated runs: the fleet, the requests of clients, and the faults that are
// injected. Scripts are HCL files. Predefined scripts are embedded.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

//go:embed scripts/*.hcl
var scripts embed.FS

// Script describes a run: a fleet, the demand on it, and the faults. It has a field for each block and top-level
// setting of a script file.
type Script struct {
	Name       string
	About      string
	SettleTime placement.Millis // time in which nodes and allocators connect, before requests and faults
	Length     placement.Millis // time in which clients send requests
	Allocators int
	Clients    int
	Zones      []string
	Settings   placement.Settings
	Groups     []string // names of Settings.Groups
	NodeKinds  []string // names of Settings.NodeKinds
	NodeCounts []int    // number of nodes of each kind
	Demand     []Demand
	Node       NodeModel
	Discovery  DiscoveryModel
	Client     ClientModel
	DrainGrace placement.Millis // time from the start of a drain in which offers to the node are allowed
	Faults     []Fault
	Limits     config.Limits
	Storage    StorageModel
}

// Terms are the limits that an audited run is held to. Their JSON keys are part of the format of recorded histories.
type Terms struct {
	AnswerSlack placement.Millis `json:"Slack"` // time after the pending timeout in which an answer is still accepted
	DrainGrace  placement.Millis // see Script
	MaxBinds    int              // limit of the binds of a request; 0 for no limit
	Model       *NodeModel       // limits the binds to a node that is warming up
	Groups      map[string]placement.Group
}

// Names returns the names of the embedded scripts, sorted.
func Names() []string {
	entries, err := scripts.ReadDir("scripts")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".hcl"))
	}
	return names
}

// Open reads an embedded script by its name, or a script file.
func Open(nameOrFile string) (*Script, error) {
	block, err := Parse(nameOrFile)
	if err != nil {
		return nil, err
	}
	return Decode(block)
}

// Parse parses an embedded script by its name, or a script file, without decoding it.
func Parse(nameOrFile string) (*config.Block, error) {
	if slices.Contains(Names(), nameOrFile) {
		return parseEmbedded(nameOrFile)
	}
	src, err := os.ReadFile(nameOrFile)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(nameOrFile, "./") {
		return nil, fmt.Errorf("no script is named %q; known are %s", nameOrFile, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, fmt.Errorf("read the script: %w", err)
	}
	return config.Parse(nameOrFile, src)
}

// parseEmbedded parses an embedded script.
func parseEmbedded(name string) (*config.Block, error) {
	src, err := scripts.ReadFile("scripts/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("read the embedded script %s: %w", name, err)
	}
	return config.Parse(name+".hcl", src)
}

// DecodeText reads a script from its source; file is the name used in errors.
func DecodeText(file string, src []byte) (*Script, error) {
	block, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	return Decode(block)
}

// Terms returns the limits that a run of the script is audited against.
func (s *Script) Terms() Terms {
	terms := Terms{
		AnswerSlack: s.Client.AnswerSlack,
		DrainGrace:  s.DrainGrace,
		MaxBinds:    s.Settings.MaxBinds,
		Model:       &s.Node,
		Groups:      map[string]placement.Group{},
	}
	for i, name := range s.Groups {
		terms.Groups[name] = s.Settings.Groups[i]
	}
	return terms
}

// NodeCount returns the number of nodes of all kinds.
func (s *Script) NodeCount() (n int) {
	for _, c := range s.NodeCounts {
		n += c
	}
	return n
}

// Resize sets the numbers of allocators and nodes; 0 leaves a number as it is. Request rates and numbers of services
// change in proportion to the number of nodes.
func (s *Script) Resize(allocators, nodes int) {
	if allocators > 0 {
		s.Allocators = allocators
	}
	before := s.NodeCount()
	if nodes <= 0 || before == 0 {
		return
	}
	left := nodes
	for i := range s.NodeCounts {
		s.NodeCounts[i] = s.NodeCounts[i] * nodes / before
		left -= s.NodeCounts[i]
	}
	s.NodeCounts[0] += left // the remainder of the rounding
	s.Client.Rate *= float64(nodes) / float64(before)
	for i := range s.Client.Gangs {
		s.Client.Gangs[i].Rate *= float64(nodes) / float64(before)
	}
	for i := range s.Demand {
		s.Demand[i].Services = max(1, s.Demand[i].Services*nodes/before)
	}
}

// SetLength sets the length of the run, and scales the start times and durations of its faults in proportion.
func (s *Script) SetLength(length placement.Millis) {
	factor := length / s.Length
	s.Length = length
	for i := range s.Faults {
		fault := &s.Faults[i]
		fault.At *= factor
		fault.Duration *= factor
	}
}

// SetLoad scales the request rates of gangs and single workloads by one factor, so that their mean demand is the given
// share of the cores of all nodes.
func (s *Script) SetLoad(share float64) {
	cores := 0.0
	for i, count := range s.NodeCounts {
		cores += float64(count) * s.Settings.NodeKinds[i].Cores
	}
	demand := s.meanDemand()
	if demand <= 0 {
		return
	}
	s.Client.Rate *= share * cores / demand
	for i := range s.Client.Gangs {
		s.Client.Gangs[i].Rate *= share * cores / demand
	}
}

// meanDemand returns the mean number of cores that gangs and single workloads request at a time.
func (s *Script) meanDemand() float64 {
	sum := 0.0
	for _, demand := range s.Demand {
		mean := 0.0
		for _, shape := range demand.Shapes {
			mean += shape[0] / float64(len(demand.Shapes))
		}
		sum += s.Client.Rate * demand.Share * mean * float64(demand.Lifetime) / 1000
	}
	for _, gang := range s.Client.Gangs {
		sum += gang.Rate * float64(gang.Parts) * gang.Shape[0] * float64(gang.Lifetime) / 1000
	}
	return sum
}
