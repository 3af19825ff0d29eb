package storage

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
	OpList: "list", OpRead: "read", OpCreate: "create", OpRename: "rename", OpRemove: "remove", OpSyncNames: "sync names",
	OpWrite: "write", OpSync: "sync",
}

func (o Operation) String() string { return operationNames[o] }

// Call is one operation that a MemoryDisk is about to carry out.
type Call struct {
	Number    int // counted from 1
	Operation Operation
	File      string // empty for List and Sync of the disk
}
