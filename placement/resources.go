package placement

// resources is an amount of cores and memory, such as the size of a node, a request, or the amount in use.
type resources struct {
	Cores  float64
	Memory float64
}

// plus returns the sum of r and other.
func (r resources) plus(other resources) resources {
	return resources{Cores: r.Cores + other.Cores, Memory: r.Memory + other.Memory}
}

// elementwiseMax returns the greater number of cores and the greater amount of memory of r and other.
func (r resources) elementwiseMax(other resources) resources {
	return resources{Cores: max(r.Cores, other.Cores), Memory: max(r.Memory, other.Memory)}
}

// dividedBy returns the number of units that r occupies, fractions included: the greater of the ratios in cores and in
// memory.
func (r resources) dividedBy(unit resources) float64 {
	return max(r.Cores/unit.Cores, r.Memory/unit.Memory)
}

// utilization is a number of cores per core of a node: 0.5 is half of its cores. The load of a node is the utilization
// by the cores in use, called ρ in docs/design.md.
type utilization float64

// usageRatio is the number of cores in use by workloads per core requested.
type usageRatio float64
