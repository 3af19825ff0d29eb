package trace

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"grebeglade/trace/tracepb"
)

// FileExtension is the file name extension of trace files.
const FileExtension = ".gbt"

// File is a trace file in a directory.
type File struct {
	Name string // path, including the directory
	Size int64  // in bytes
}

// ListFiles returns the trace files in a directory sorted by name, which within one allocator is the order of writing.
// It returns none if the directory cannot be read.
func ListFiles(dir string) []File {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var files []File
	for _, entry := range entries { // sorted by name
		info, err := entry.Info()
		if err != nil || !strings.HasSuffix(entry.Name(), FileExtension) || !info.Mode().IsRegular() {
			continue
		}
		files = append(files, File{Name: filepath.Join(dir, entry.Name()), Size: info.Size()})
	}
	return files
}

// totalSize returns the sum of the sizes of files.
func totalSize(files []File) int64 {
	total := int64(0)
	for _, file := range files {
		total += file.Size
	}
	return total
}

// fileName returns the name of a source's n-th file. Names sort in the order of writing within one allocator.
func fileName(s *tracepb.Source, n int) string {
	return fmt.Sprintf("%s-%020d-%06d%s", strings.Map(fileNameRune, s.Allocator), s.Incarnation, n, FileExtension)
}

// fileNameRune returns the character itself if every file system allows it in names, otherwise an underscore.
func fileNameRune(c rune) rune {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	if strings.ContainsRune(allowed, c) {
		return c
	}
	return '_'
}
