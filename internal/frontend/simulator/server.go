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
// ends it; the error names the place, and is a *RecordError if the batch itself is complete.
func Serve(input io.Reader, output io.Writer) error {
	srv := &server{
		instances: map[uint16]*instance{},
		lists:     map[uint32][]placement.Node{},
	}
	in := bufio.NewReaderSize(input, bufferSize)
	out := bufio.NewWriterSize(output, bufferSize)
	for {
		b, err := readBatch(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := srv.answer(b, out); err != nil {
			return err
		}
	}
}

// answer handles a batch and writes the reply.
func (s *server) answer(b batch, out *bufio.Writer) error {
	now := millis(b.time)
	if err := b.forEach(func(r record) error { return s.handle(now, r) }); err != nil {
		return err
	}
	if err := s.reply.writeTo(out); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// handle handles one record. Records of unknown codes are skipped.
func (s *server) handle(now placement.Millis, rec record) error {
	fields := &fieldReader{data: rec.fields}
	if rec.code == codeNodeList {
		return s.handleNodeList(fields)
	}
	if !rec.code.known() {
		return nil
	}
	number := fields.uint16()
	if fields.err != nil {
		return fields.err
	}
	if rec.code == codeInstanceStart {
		return s.handleStart(now, number, fields)
	}
	if target := s.instances[number]; target != nil {
		return s.handleFor(now, target, rec.code, fields)
	}
	return nil
}

// handleFor handles a record for an instance that runs.
func (s *server) handleFor(now placement.Millis, target *instance, code requestCode, fields *fieldReader) error {
	switch code {
	case codeInstanceStop:
		delete(s.instances, target.number)
		return nil
	case codeNodeUpdate:
		return s.handleNodeUpdate(now, target, fields)
	case codeHealthCheckEnded, codePlaceRequest, codeBindEnded, codeRunningWorkload, codeUsageReport,
		codeWithdrawal, codeBindAccepted, codeWakeup:
		return target.handle(now, code, fields)
	case codeInstanceStart, codeNodeList: // not for a running instance; see handle
	case codePeerMessage: // no instance sends any
	}
	return nil
}

// handleNodeList stores a list of nodes.
func (s *server) handleNodeList(r *fieldReader) error {
	list, err := decodeNodeList(r)
	if err == nil {
		s.lists[list.number] = list.nodes
	}
	return err
}

// handleStart starts an instance, in place of one that has the same number.
func (s *server) handleStart(now placement.Millis, number uint16, r *fieldReader) error {
	request, err := decodeStart(r)
	if err != nil {
		return err
	}
	started, err := newInstance(number, request, &s.reply)
	if err != nil {
		return err
	}
	s.instances[number] = started
	started.engine.Start(now)
	return nil
}

// handleNodeUpdate passes a list of nodes, or that discovery has failed, to an instance.
func (s *server) handleNodeUpdate(now placement.Millis, target *instance, r *fieldReader) error {
	update, err := decodeNodeUpdate(r)
	if err != nil || !update.known {
		return err
	}
	if update.kind == placement.PollFailed {
		target.engine.UpdateNodes(now, update.kind, nil)
		return nil
	}
	nodes, sent := s.lists[update.list]
	if !sent {
		return fmt.Errorf("names list %d, which was never sent", update.list)
	}
	target.engine.UpdateNodes(now, update.kind, nodes)
	return nil
}
