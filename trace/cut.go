package trace

// Cut copies the records of a span, and before them the start of each source, which defines the groups, node kinds and
// zones that they refer to. It closes the writer.
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

// copyStart copies the start of the source of its first record in a span, unless that is the start itself.
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

// start returns a source's start, nil if the file lacks it.
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
