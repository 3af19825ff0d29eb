package storage

import (
	"errors"
	"fmt"
)

// Operation is the kind of a method call on a MemoryDisk or one of its files.
type Operation uint8

// Operations into which a fault can be injected.
const (
	OpList Operation = iota
	OpRead
	OpCreate
	OpRename
	OpRemove
	OpSyncNames
	OpWrite
	OpSync
)

var operationNames = [...]string{
	OpList:      "list",
	OpRead:      "read",
	OpCreate:    "create",
	OpRename:    "rename",
	OpRemove:    "remove",
	OpSyncNames: "sync names",
	OpWrite:     "write",
	OpSync:      "sync",
}

func (o Operation) String() string { return operationNames[o] }

// Call is one operation on a MemoryDisk, passed to InjectFault before it is performed.
type Call struct {
	Number    int // sequence number of the operation, from 1
	Operation Operation
	File      string // empty for OpList and OpSyncNames
}

// String returns the operation and its file, as used in error texts.
func (c Call) String() string {
	if c.File == "" {
		return c.Operation.String()
	}
	return c.Operation.String() + " " + c.File
}

// startOperation counts an operation and returns the fault that InjectFault injects into it. For ErrCrashed it calls
// partialEffect, which applies a part of the operation, before the crash.
func (m *MemoryDisk) startOperation(operation Operation, file string, partialEffect func()) error {
	if m.crashed {
		return ErrCrashed
	}
	m.calls++
	if m.InjectFault == nil {
		return nil
	}
	call := Call{
		Number:    m.calls,
		Operation: operation,
		File:      file,
	}
	err := m.InjectFault(call)
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrCrashed) {
		partialEffect()
		m.crash()
	}
	return fmt.Errorf("%s: %w", call, err)
}

// noEffect is the partialEffect of an operation that is atomic or changes nothing.
func noEffect() {}
