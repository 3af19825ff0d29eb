package storage

// Disk is the directory that holds the files of a Log. OpenDir returns a directory of the operating system, and
// NewMemoryDisk a simulated one that loses unsynced data in a crash.
type Disk interface {
	// List returns the names of the files in lexical order.
	List() ([]string, error)
	// Read returns the contents of a file. The error matches fs.ErrNotExist if the file does not exist.
	Read(name string) ([]byte, error)
	// Create creates an empty file for appending, and replaces an existing file of that name.
	Create(name string) (File, error)
	// Rename renames a file, and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file. It returns nil if the file does not exist.
	Remove(name string) error
	// Sync makes the preceding calls of Create, Rename and Remove durable. It does not sync the contents of files.
	Sync() error
	// Lock locks the directory until Unlock or the end of the process. The error matches ErrInUse if another process
	// has locked it.
	Lock() error
	// Unlock releases the lock. It returns nil if the lock is not held.
	Unlock() error
}

// File is a file that is open for appending.
type File interface {
	// Write appends data and returns the number of bytes appended. The error is nil if and only if all were appended.
	Write(data []byte) (int, error)
	// Sync makes all written data durable. After an error the contents of the file are undefined, even if a later Sync
	// succeeds.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}
