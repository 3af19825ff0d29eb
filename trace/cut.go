package trace

// Cut copies the records within a span, and closes the writer unless an error occurs. Damage is an error. The first
// record of each source is preceded by the source's Start record, if the file has it. The Start record defines the
// groups, node kinds and zones that the other records refer to.
func Cut(reader *Reader, writer *Writer, span Span) error {
	started := map[uint32]bool{}
	for record, err := range reader.Records(span) {
		if err != nil {
			return err
		}
		if !started[record.Source] {
			started[record.Source] = true
			if err := copyStart(reader, writer, record); err != nil {
				return err
			}
		}
		if err := writer.Append(record); err != nil {
			return err
		}
	}
	return writer.Close()
}

// copyStart copies the Start record of a source, given the source's first record within the span. It copies nothing if
// first is the Start record, or if the file has none.
func copyStart(reader *Reader, writer *Writer, first *Record) error {
	if first.GetStart() != nil {
		return nil
	}
	start, err := reader.start(first.Source)
	if err != nil || start == nil {
		return err
	}
	return writer.Append(start)
}

// start returns the Start record of a source, nil if the source's first record in the file is another one.
func (r *Reader) start(source uint32) (*Record, error) {
	for record, err := range r.Records(Span{}) {
		if err != nil {
			return nil, err
		}
		if record.Source != source {
			continue
		}
		if record.GetStart() == nil {
			return nil, nil
		}
		return record, nil
	}
	return nil, nil
}
