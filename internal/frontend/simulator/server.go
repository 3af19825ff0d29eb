package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"grebeglade/placement"
)

// bufferSize is the length of the buffers of input and output in bytes.
const bufferSize = 1 << 16

// server runs the instances of one process.
type server struct {
	instances map[uint16]*instance
	lists     map[uint32][]placement.Node // lists of nodes by their numbers
	reply     reply
}

// Serve answers batches until the input ends, which is no error between two batches. A batch that cannot be decoded
// ends it; the error names the place, and is a *RecordError if the batch itself is whole.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{instances: map[uint16]*instance{}, lists: map[uint32][]placement.Node{}}
	in := bufio.NewReaderSize(r, bufferSize)
	out := bufio.NewWriterSize(w, bufferSize)
	for {
		b, err := readBatch(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		now := millis(b.time)
		if err := b.forEach(func(r record) error { return s.handle(now, r) }); err != nil {
			return err
		}
		if err := s.reply.writeTo(out); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// handle carries one record out.
func (s *server) handle(now placement.Millis, rec record) error {
	r := &fieldReader{data: rec.fields}
	if rec.code == codeSheet {
		return s.handleNodeList(r)
	}
	if rec.code == 0 || rec.code > lastKnownCode {
		return nil // of a later version of the protocol
	}
	number := r.uint16()
	if r.err != nil {
		return r.err
	}
	if rec.code == codeAttach {
		return s.handleAttach(now, number, r)
	}
	in := s.instances[number]
	if in == nil {
		return nil
	}
	switch rec.code {
	case codePowerOff:
		delete(s.instances, number)
		return nil
	case codeDirectory:
		return s.handleNodeUpdate(now, in, r)
	default:
		return in.handle(now, rec.code, r)
	}
}

func (s *server) handleNodeList(r *fieldReader) error {
	l, err := decodeNodeList(r)
	if err == nil {
		s.lists[l.number] = l.nodes
	}
	return err
}

// handleAttach starts an instance. One that has the same number ends.
func (s *server) handleAttach(now placement.Millis, number uint16, r *fieldReader) error {
	request, err := decodeAttach(r)
	if err != nil {
		return err
	}
	in, err := newInstance(number, request, &s.reply)
	if err != nil {
		return err
	}
	s.instances[number] = in
	in.engine.Start(now)
	return nil
}

func (s *server) handleNodeUpdate(now placement.Millis, in *instance, r *fieldReader) error {
	m, err := decodeNodeUpdate(r)
	if err != nil || !m.known {
		return err
	}
	if m.kind == placement.PollFailed {
		in.engine.UpdateNodes(now, m.kind, nil)
		return nil
	}
	nodes, ok := s.lists[m.list]
	if !ok {
		return fmt.Errorf("names list %d, which was never sent", m.list)
	}
	in.engine.UpdateNodes(now, m.kind, nodes)
	return nil
}
