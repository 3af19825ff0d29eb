package trace

// nextInput returns the file whose head record is written next: the earliest one that no remaining record of the same
// allocator must precede. It returns nil if there is none.
func (m *merger) nextInput() *mergeInput {
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

// before reports whether a record has an earlier time than another. Equal times are ordered by the index of the source.
func (m *merger) before(record, other *Record) bool {
	recordTime := unixMillis(m.header, record)
	otherTime := unixMillis(m.header, other)
	if recordTime != otherTime {
		return recordTime < otherTime
	}
	return record.Source < other.Source
}

// ready reports whether the head record of a file may be written: no file has remaining records of an earlier
// incarnation of the same allocator, and no other file that begins at a lower revision of the same incarnation has
// remaining records of it.
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

// precedes reports whether the records of a source in file other must be written before the head record of input.
func (m *merger) precedes(other *mergeInput, source uint32, input *mergeInput) bool {
	own := input.head.Source
	if source == own {
		return other != input && other.ranges[source].first < input.ranges[source].first
	}
	return m.header.Sources[source].Allocator == m.header.Sources[own].Allocator && m.isEarlier(source, own)
}

// isEarlier reports whether one incarnation of an allocator is earlier than another. In anonymised files it compares
// the clock times of their starts, since pseudonyms of incarnations have no order.
func (m *merger) isEarlier(index, otherIndex uint32) bool {
	incarnation := m.header.Sources[index]
	other := m.header.Sources[otherIndex]
	if m.header.Anonymised {
		return incarnation.WallMs < other.WallMs
	}
	return incarnation.Incarnation < other.Incarnation
}
