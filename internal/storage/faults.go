package storage

import (
	"errors"
	"fmt"
)

// Operation is an operation of a MemoryDisk or of one of its files.
type Operation uint8

// Operations in which a fault can be injected.
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

// Call is one operation that a MemoryDisk is about to perform.
type Call struct {
	Number    int // counted from 1
	Operation Operation
	File      string // empty for List and Sync of the disk
}

// String returns the operation and its file, as an error names them.
func (c Call) String() string {
	if c.File == "" {
		return c.Operation.String()
	}
	return c.Operation.String() + " " + c.File
}

// startOperation counts an operation and injects a fault into it. If the fault is a crash of the machine, the function
// partialEffect is called first: it does what such a crash may leave of the operation.
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

// noEffect is the partial effect of an operation that changes nothing, or everything at once.
func noEffect() {}
