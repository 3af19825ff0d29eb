package placement

// resources is an amount of cores and memory: the size of a node, a request, or what is in use or available.
type resources struct {
	Cores  float64
	Memory float64
}

// atLeast returns the greater of two amounts, in cores and in memory.
func (r resources) atLeast(other resources) resources {
	return resources{Cores: max(r.Cores, other.Cores), Memory: max(r.Memory, other.Memory)}
}

// dividedBy returns how many units hold r, fractions included: the greater of the ratios in cores and in memory.
func (r resources) dividedBy(unit resources) float64 {
	return max(r.Cores/unit.Cores, r.Memory/unit.Memory)
}

// utilization is a number of cores for each core that a node has: 0.5 is half of its cores. The utilization by
// the cores in use is a node's load, the ρ of docs/design.md.
type utilization float64

// usageRatio is the number of cores that workloads use for each core that they request.
type usageRatio float64
