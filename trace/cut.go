package trace

// Cut copies the records of a span, and before them each source's start, which says what they mean. It closes w.
func Cut(r *Reader, w *Writer, s Span) error {
	started := map[uint32]bool{}
	for rec, err := range r.Records(s) {
		if err != nil {
			return err
		}
		if !started[rec.Source] {
			started[rec.Source] = true
			if err := copyStart(r, w, rec); err != nil {
				return err
			}
		}
		if err := w.Append(rec); err != nil {
			return err
		}
	}
	return w.Close()
}

// copyStart copies the start of the source of its first record in a span, unless that is the start itself.
func copyStart(r *Reader, w *Writer, first *Record) error {
	if first.GetStart() != nil {
		return nil
	}
	start, err := r.start(first.Source)
	if err != nil || start == nil {
		return err
	}
	return w.Append(start)
}

// start returns a source's start, nil if the file lacks it.
func (t *Reader) start(source uint32) (*Record, error) {
	for rec, err := range t.Records(Span{}) {
		if err != nil {
			return nil, err
		}
		if rec.Source != source {
			continue
		}
		if rec.GetStart() == nil {
			return nil, nil
		}
		return rec, nil
	}
	return nil, nil
}
