package native

// numbering gives each name of a zone or cell a number of its own, in the order in which the names occur. There are
// never more names than nodes are kept, and so fewer than numbers. Numbers are given out in a cycle: one that is free
// again is reused as late as possible, since the placement module may still have state under it.
type numbering[T ~uint16] struct {
	byName map[string]T
	used   map[T]bool
	next   T
}

// newNumbering returns a numbering in which the given name has the number 0.
func newNumbering[T ~uint16](first string) numbering[T] {
	return numbering[T]{
		byName: map[string]T{first: 0},
		used:   map[T]bool{0: true},
		next:   1,
	}
}

// number returns the number of a name, a new one if the name is new.
func (n *numbering[T]) number(name string) T {
	number, known := n.byName[name]
	if known {
		return number
	}
	for n.used[n.next] {
		n.next++
	}
	number = n.next
	n.byName[name] = number
	n.used[number] = true
	n.next++
	return number
}

// retain forgets all names but these.
func (n *numbering[T]) retain(names map[string]bool) {
	for name, number := range n.byName {
		if !names[name] {
			delete(n.byName, name)
			delete(n.used, number)
		}
	}
}
