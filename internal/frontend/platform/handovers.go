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

// evictionOrder returns the tags to evict, evictedHandovers of the table: first those of the connections that have
// handed over the most, open or closed, and of each the latest first. A client that hands over workloads that do not
// exist makes room with its own.
func (t *handoverTable) evictionOrder() []codec.Tag {
	bySource := map[transport.ConnID][]codec.Tag{}
	for tag, h := range t.byTag {
		bySource[h.client] = append(bySource[h.client], tag)
	}
	count := max(1, int(evictedHandovers*float64(len(t.byTag))))
	evicted := make([]codec.Tag, 0, count)
	for _, source := range largestFirst(bySource) {
		tags := bySource[source]
		slices.SortFunc(tags, func(x, y codec.Tag) int {
			return cmp.Or(cmp.Compare(t.byTag[y].at, t.byTag[x].at), cmp.Compare(x, y))
		})
		evicted = append(evicted, tags[:min(len(tags), count-len(evicted))]...)
		if len(evicted) == count {
			break
		}
	}
	return evicted
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
