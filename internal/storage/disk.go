package storage

// Disk is the directory in which a Log keeps its files. OpenDir returns one of the operating system, and NewMemoryDisk
// one that loses what was not synced.
type Disk interface {
	// List returns the names of the files in order.
	List() ([]string, error)
	// Read returns the contents of a file; the error is fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create creates an empty file for appending and replaces a file that has its name.
	Create(name string) (File, error)
	// Rename gives a file another name and replaces a file that has that name.
	Rename(from, to string) error
	// Remove removes a file. A file that does not exist is no error.
	Remove(name string) error
	// Sync makes the names that were created, changed or removed durable.
	Sync() error
	// Lock locks the directory until Unlock or the end of the process. It returns ErrInUse if another process has
	// locked it.
	Lock() error
	// Unlock releases the lock, if it is held.
	Unlock() error
}

// File is a file that is appended to.
type File interface {
	// Write appends bytes and returns how many were appended. The error is nil if all were.
	Write(data []byte) (int, error)
	// Sync makes what was written durable. After an error the file must not be relied on, whatever a later Sync
	// returns.
	Sync() error
	// Close closes the file without a sync.
	Close() error
}
