package trace

// first returns the file whose record comes next, nil if there is none: the earliest of the records that no remaining
// record of their allocator must precede.
func (m *merger) first() *mergeInput {
	var first *mergeInput
	for _, input := range m.inputs {
		if input.head == nil || !m.ready(input) {
			continue
		}
		if first == nil || m.before(input.head, first.head) {
			first = input
		}
	}
	return first
}

// before reports whether a record comes before another by time. The place of the source decides between equal times.
func (m *merger) before(record, other *Record) bool {
	recordTime := unixMillis(m.header, record)
	otherTime := unixMillis(m.header, other)
	if recordTime != otherTime {
		return recordTime < otherTime
	}
	return record.Source < other.Source
}

// ready reports whether the next record of a file may be taken: no file has remaining records of an earlier incarnation
// of its allocator, and no other file has earlier ones of its own incarnation.
func (m *merger) ready(input *mergeInput) bool {
	for _, other := range m.inputs {
		for source, remaining := range other.remaining {
			if remaining > 0 && m.precedes(other, source, input) {
				return false
			}
		}
	}
	return true
}

// precedes reports whether what a file has of a source must be taken before the next record of another file.
func (m *merger) precedes(other *mergeInput, source uint32, input *mergeInput) bool {
	own := input.head.Source
	if source == own {
		return other != input && other.ranges[source].first < input.ranges[source].first
	}
	return m.header.Sources[source].Allocator == m.header.Sources[own].Allocator && m.earlier(source, own)
}

// earlier reports whether one incarnation of an allocator was before another. Pseudonyms of incarnations have no order,
// so the clock decides between them.
func (m *merger) earlier(place, otherPlace uint32) bool {
	incarnation := m.header.Sources[place]
	other := m.header.Sources[otherPlace]
	if m.header.Anonymised {
		return incarnation.WallMs < other.WallMs
	}
	return incarnation.Incarnation < other.Incarnation
}
