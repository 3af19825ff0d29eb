package platform

// maxRemovedNames is the number of names of removed nodes that are remembered.
const maxRemovedNames = 1024

// removedNames remembers the names of the nodes that the endpoint list has removed last. Nodes are replaced by ones
// with new names, so that nothing runs on a removed one.
type removedNames struct {
	names map[string]struct{}
	order [maxRemovedNames]string // from next on, the oldest first
	next  int
}

func newRemovedNames() *removedNames { return &removedNames{names: map[string]struct{}{}} }

// contains reports whether the name is that of a removed node.
func (r *removedNames) contains(name string) bool {
	_, ok := r.names[name]
	return ok
}

// add adds a name, and forgets the oldest one beyond maxRemovedNames.
func (r *removedNames) add(name string) {
	if r.contains(name) {
		return
	}
	delete(r.names, r.order[r.next])
	r.order[r.next] = name
	r.next = (r.next + 1) % maxRemovedNames
	r.names[name] = struct{}{}
}

// forget forgets the name of a node that is listed again.
func (r *removedNames) forget(name string) { delete(r.names, name) }
