package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"grebeglade/placement"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

// server runs the instances of one process.
type server struct {
	instances map[uint16]*instance
	lists     map[uint32][]placement.Node // node lists by number
	reply     reply
}

// Serve replies to batches until the input ends, and returns nil if it ends between two batches or after a size field.
// It returns an error on the first batch that cannot be read, handled or answered. The error is a *RecordError if the
// cause is one record's contents.
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

// answer handles the records of a batch and writes the reply.
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

// handle handles one record. Records with unknown codes, or for an instance that does not run, are skipped.
func (s *server) handle(now placement.Millis, rec record) error {
	fields := &fieldReader{data: rec.fields}
	if rec.code == codeNodeList {
		return s.handleNodeList(fields)
	}
	if !rec.code.supported() {
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

// handleFor handles a record for a running instance.
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
	case codeInstanceStart, codeNodeList: // handled by handle
	case codePeerMessage: // ignored: instances send none
	}
	return nil
}

// handleNodeList stores a node list under its number.
func (s *server) handleNodeList(r *fieldReader) error {
	list, err := decodeNodeList(r)
	if err == nil {
		s.lists[list.number] = list.nodes
	}
	return err
}

// handleStart starts an instance. It replaces a running instance with the same number.
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

// handleNodeUpdate passes a node list, or a failed poll of discovery, to an instance.
func (s *server) handleNodeUpdate(now placement.Millis, target *instance, r *fieldReader) error {
	update, err := decodeNodeUpdate(r)
	if err != nil || !update.kindSupported {
		return err
	}
	if update.kind == placement.PollFailed {
		target.engine.UpdateNodes(now, update.kind, nil)
		return nil
	}
	nodes, sent := s.lists[update.list]
	if !sent {
		return fmt.Errorf("node list %d was never sent", update.list)
	}
	target.engine.UpdateNodes(now, update.kind, nodes)
	return nil
}
