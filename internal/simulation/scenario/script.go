// Package scenario reads the scripts of simulated runs: the fleet, what clients request from it, and the faults
// that are injected. Scripts are HCL files; those that come with the program are embedded.
package scenario

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

//go:embed scripts/*.hcl
var scripts embed.FS

// Script describes a run: a fleet, the demand on it, and the faults.
type Script struct {
	Name       string
	About      string
	SettleTime placement.Millis // before clients send requests and faults count, for nodes and allocators to connect
	Length     placement.Millis // for which clients send requests
	Allocators int
	Clients    int
	Zones      []string
	Settings   placement.Settings
	Groups     []string // names of Settings.Groups
	NodeKinds  []string // names of Settings.NodeKinds
	NodeCounts []int    // of each kind
	Demand     []Demand
	Node       NodeModel
	Discovery  DiscoveryModel
	Client     ClientModel
	DrainGrace placement.Millis // within which offers to a draining node are allowed
	Faults     []Fault
	Limits     config.Limits
	Storage    StorageModel
}

// Terms are the limits that an audited run is held to. Their JSON keys are part of the format of recorded histories.
type Terms struct {
	AnswerSlack placement.Millis `json:"Slack"` // beyond the pending timeout within which an answer still counts
	DrainGrace  placement.Millis
	MaxBinds    int        // of one request; 0 for no limit
	Model       *NodeModel // for the binds that a node which is warming up withstands
	Groups      map[string]placement.Group
}

// Names returns the names of the scripts that come with the program, sorted.
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

// Open reads the script of that name, or the script in that file.
func Open(nameOrFile string) (*Script, error) {
	b, err := Parse(nameOrFile)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Parse parses the script of that name, or the script in that file, without decoding it.
func Parse(nameOrFile string) (*config.Block, error) {
	if slices.Contains(Names(), nameOrFile) {
		return parseEmbedded(nameOrFile)
	}
	src, err := os.ReadFile(nameOrFile)
	if os.IsNotExist(err) && !strings.ContainsAny(nameOrFile, "./") {
		return nil, fmt.Errorf("no script is named %q; known are %s", nameOrFile, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return config.Parse(nameOrFile, src)
}

func parseEmbedded(name string) (*config.Block, error) {
	src, err := scripts.ReadFile("scripts/" + name + ".hcl")
	if err != nil {
		return nil, err
	}
	return config.Parse(name+".hcl", src)
}

// DecodeText reads a script from its text; file is the name used in errors.
func DecodeText(file string, src []byte) (*Script, error) {
	b, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Terms returns the limits that a run of the script is audited against.
func (s *Script) Terms() Terms {
	t := Terms{
		AnswerSlack: s.Client.AnswerSlack,
		DrainGrace:  s.DrainGrace,
		MaxBinds:    s.Settings.MaxBinds,
		Model:       &s.Node,
		Groups:      map[string]placement.Group{},
	}
	for i, name := range s.Groups {
		t.Groups[name] = s.Settings.Groups[i]
	}
	return t
}

// NodeCount returns the number of nodes of all kinds.
func (s *Script) NodeCount() (n int) {
	for _, c := range s.NodeCounts {
		n += c
	}
	return n
}

// Resize sets the numbers of allocators and nodes; 0 leaves a number as it is. Request rates and services grow with the
// number of nodes.
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
	s.NodeCounts[0] += left
	s.Client.Rate *= float64(nodes) / float64(before)
	for i := range s.Client.Gangs {
		s.Client.Gangs[i].Rate *= float64(nodes) / float64(before)
	}
	for i := range s.Demand {
		s.Demand[i].Services = max(1, s.Demand[i].Services*nodes/before)
	}
}

// SetLength sets the length of the run, and moves and scales its faults in proportion.
func (s *Script) SetLength(length placement.Millis) {
	by := length / s.Length
	s.Length = length
	for i := range s.Faults {
		f := &s.Faults[i]
		f.At *= by
		f.Duration *= by
	}
}

// SetLoad scales the request rates of gangs and single workloads alike, so that their mean demand is that share of the
// cores of all nodes.
func (s *Script) SetLoad(share float64) {
	cores := 0.0
	wanted := 0.0
	for i, n := range s.NodeCounts {
		cores += float64(n) * s.Settings.NodeKinds[i].Cores
	}
	for _, d := range s.Demand {
		mean := 0.0
		for _, shape := range d.Shapes {
			mean += shape[0] / float64(len(d.Shapes))
		}
		wanted += s.Client.Rate * d.Share * mean * float64(d.Lifetime) / 1000
	}
	for _, g := range s.Client.Gangs {
		wanted += g.Rate * float64(g.Parts) * g.Shape[0] * float64(g.Lifetime) / 1000
	}
	if wanted <= 0 {
		return
	}
	s.Client.Rate *= share * cores / wanted
	for i := range s.Client.Gangs {
		s.Client.Gangs[i].Rate *= share * cores / wanted
	}
}
