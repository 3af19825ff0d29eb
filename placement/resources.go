package placement

// resources is an amount of cores and memory: the size of a node, a request, or what is in use or available.
type resources struct {
	Cores  float64
	Memory float64
}

// utilization is a number of cores for each core that a node has: 0.5 is half of its cores. The utilization by
// the cores in use is a node's load, the ρ of docs/design.md.
type utilization float64

// usageRatio is the number of cores that workloads use for each core that they request.
type usageRatio float64
