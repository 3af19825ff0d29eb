package platform

// recentMap is a map that holds the entries that were added last. Beyond its limit, the oldest one is forgotten.
type recentMap[K comparable, V any] struct {
	limit   int
	entries map[K]recentEntry[V]
	order   []K // ring of the keys in the order of their addition; some may have been removed since
	next    int // index in order of the next key, once order has reached the limit
}

// recentEntry is an entry of a recentMap.
type recentEntry[V any] struct {
	value V
	index int // in order
}

func newRecentMap[K comparable, V any](limit int) *recentMap[K, V] {
	return &recentMap[K, V]{limit: limit, entries: map[K]recentEntry[V]{}}
}

// get returns the value of a key, and false if there is none.
func (m *recentMap[K, V]) get(key K) (value V, ok bool) {
	entry, ok := m.entries[key]
	return entry.value, ok
}

// add adds an entry, unless the map has one with its key.
func (m *recentMap[K, V]) add(key K, value V) {
	if _, known := m.entries[key]; known {
		return
	}
	index := m.next
	if len(m.order) < m.limit {
		index = len(m.order)
		m.order = append(m.order, key)
	} else {
		m.forgetAt(index)
		m.order[index] = key
		m.next = (index + 1) % m.limit
	}
	m.entries[key] = recentEntry[V]{value: value, index: index}
}

// forgetAt removes the entry that was added at an index of order, unless it has been removed or added again since.
func (m *recentMap[K, V]) forgetAt(index int) {
	key := m.order[index]
	if entry, ok := m.entries[key]; ok && entry.index == index {
		delete(m.entries, key)
	}
}

// remove removes the entry of a key, if there is one.
func (m *recentMap[K, V]) remove(key K) { delete(m.entries, key) }

// size returns the number of entries.
func (m *recentMap[K, V]) size() int { return len(m.entries) }
