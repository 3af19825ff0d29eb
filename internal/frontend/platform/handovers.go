package platform

import (
	"cmp"
	"slices"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// handoversPerMB is the number of compact handovers kept per MB of the memory limit. With its share of the tables,
	// each uses about 125 bytes, so that all of them use an eighth of the limit.
	handoversPerMB = 1024
	// evictedHandovers is the share of the handovers that is evicted at the limit: evicting is as expensive for many as
	// for one.
	evictedHandovers = 1.0 / 16
)

// handover is the compact form of a running workload that a client has handed over.
type handover struct {
	node    *node
	client  transport.ConnID // connection of the request, which may be closed
	at      placement.Millis // time of the request
	service placement.ServiceID
	cores   float32
	memory  float32
	group   placement.GroupID
}

// handoverTable is the table of the workloads that were handed over and are held in compact form, by tag.
type handoverTable struct {
	byTag map[codec.Tag]handover
	limit int
}

func newHandoverTable(memoryMB int) *handoverTable {
	return &handoverTable{
		byTag: map[codec.Tag]handover{},
		limit: handoversPerMB * memoryMB,
	}
}

// full reports whether the table has reached its limit.
func (t *handoverTable) full() bool { return len(t.byTag) >= t.limit }

// contains reports whether the table has the tag.
func (t *handoverTable) contains(tag codec.Tag) bool {
	_, ok := t.byTag[tag]
	return ok
}

// add adds a handover. The tag must not be in the table.
func (t *handoverTable) add(tag codec.Tag, added handover) {
	t.byTag[tag] = added
	added.node.handovers++
}

// take removes and returns the handover with the tag, if there is one.
func (t *handoverTable) take(tag codec.Tag) (taken handover, ok bool) {
	taken, ok = t.byTag[tag]
	if ok {
		delete(t.byTag, tag)
		taken.node.handovers--
	}
	return taken, ok
}

// takeOn is take for a workload on the given node.
func (t *handoverTable) takeOn(n *node, tag codec.Tag) (taken handover, ok bool) {
	if t.byTag[tag].node != n {
		return handover{}, false
	}
	return t.take(tag)
}

// on returns the tags of the workloads that were handed over before the given time as running on a node, in order.
func (t *handoverTable) on(n *node, before placement.Millis) (tags []codec.Tag) {
	if n.handovers == 0 {
		return nil
	}
	for tag, h := range t.byTag {
		if h.node == n && h.at < before {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	return tags
}

// evictionGroup is a set of handovers that are evicted together.
type evictionGroup struct {
	excessive bool             // handovers on the node request more than the endpoint list shows as requested there
	client    transport.ConnID // connection of the handovers, which may be closed
	tags      []codec.Tag
}

// evictedBefore defines the order of eviction. Not all handovers to a node with excessive ones can exist, so those come
// first. Then come those of the connections that have handed over the most, open or closed: a client that hands over
// workloads that do not exist makes room with its own. No connection owns a running workload, so that its end shows
// nothing about those that were handed over on it.
func (g *evictionGroup) evictedBefore(other *evictionGroup) int {
	return cmp.Or(
		-compareBool(g.excessive, other.excessive),
		-cmp.Compare(len(g.tags), len(other.tags)),
		-cmp.Compare(g.client, other.client),
	)
}

// compareBool compares two values; false is less than true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// evicted returns the tags to evict, evictedHandovers of the table, in the order of eviction. Of one group, the latest
// ones come first. requested returns the resources that the endpoint list shows as requested on a node.
func (t *handoverTable) evicted(requested func(n *node) (cores, memory float64)) []codec.Tag {
	count := max(1, int(evictedHandovers*float64(len(t.byTag))))
	evicted := make([]codec.Tag, 0, count)
	for _, group := range t.evictionGroups(t.excessiveNodes(requested)) {
		slices.SortFunc(group.tags, func(x, y codec.Tag) int {
			return cmp.Or(cmp.Compare(t.byTag[y].at, t.byTag[x].at), cmp.Compare(x, y))
		})
		evicted = append(evicted, group.tags[:min(len(group.tags), count-len(evicted))]...)
		if len(evicted) == count {
			break
		}
	}
	return evicted
}

// excessiveNodes returns the nodes on which the handovers request more than the given function returns.
func (t *handoverTable) excessiveNodes(requested func(n *node) (cores, memory float64)) map[*node]bool {
	type resources struct{ cores, memory float64 }
	handedOver := map[*node]resources{}
	for _, h := range t.byTag {
		sum := handedOver[h.node]
		sum.cores += float64(h.cores)
		sum.memory += float64(h.memory)
		handedOver[h.node] = sum
	}
	excessive := make(map[*node]bool, len(handedOver))
	for n, sum := range handedOver {
		cores, memory := requested(n)
		excessive[n] = sum.cores > cores || sum.memory > memory
	}
	return excessive
}

// evictionGroups returns the handovers in groups, in the order of eviction.
func (t *handoverTable) evictionGroups(excessive map[*node]bool) []*evictionGroup {
	type key struct {
		excessive bool
		client    transport.ConnID
	}
	byKey := map[key]*evictionGroup{}
	groups := []*evictionGroup{}
	for tag, h := range t.byTag {
		k := key{excessive: excessive[h.node], client: h.client}
		group := byKey[k]
		if group == nil {
			group = &evictionGroup{excessive: k.excessive, client: h.client}
			byKey[k] = group
			groups = append(groups, group)
		}
		group.tags = append(group.tags, tag)
	}
	slices.SortFunc(groups, (*evictionGroup).evictedBefore)
	return groups
}

// largestFirst returns the connections in the order of their numbers of items, the largest first, and among equals the
// latest connection first.
func largestFirst[T any](bySource map[transport.ConnID][]T) []transport.ConnID {
	sources := make([]transport.ConnID, 0, len(bySource))
	for source := range bySource {
		sources = append(sources, source)
	}
	slices.SortFunc(sources, func(x, y transport.ConnID) int {
		return cmp.Or(cmp.Compare(len(bySource[y]), len(bySource[x])), cmp.Compare(y, x))
	})
	return sources
}
