package native

// numbering assigns a unique number to each zone or cell name, in the order in which the names first occur. maxNodes
// limits the names to fewer than the available numbers. Numbers are assigned cyclically: a freed number is reused as
// late as possible, since the placement module may still have state for it.
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

// number returns the number of a name, and assigns one if the name has none.
func (n *numbering[T]) number(name string) T {
	number, assigned := n.byName[name]
	if assigned {
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

// retain frees the numbers of all names except the given ones.
func (n *numbering[T]) retain(names map[string]bool) {
	for name, number := range n.byName {
		if !names[name] {
			delete(n.byName, name)
			delete(n.used, number)
		}
	}
}
