package trace

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"grebeglade/trace/tracepb"
)

// FileExtension ends the names of trace files.
const FileExtension = ".gbt"

// ListFiles returns the trace files of a directory in the order of writing, with their sizes and the sum of these. A
// directory that cannot be read has none.
func ListFiles(dir string) (names []string, sizes []int64, total int64) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, 0
	}
	for _, entry := range entries { // sorted by name
		info, err := entry.Info()
		if err != nil || !strings.HasSuffix(entry.Name(), FileExtension) || !info.Mode().IsRegular() {
			continue
		}
		names = append(names, filepath.Join(dir, entry.Name()))
		sizes = append(sizes, info.Size())
		total += info.Size()
	}
	return names, sizes, total
}

// fileName returns the name of a source's n-th file. Names sort in the order of writing within one allocator.
func fileName(s *tracepb.Source, n int) string {
	return fmt.Sprintf("%s-%020d-%06d%s", strings.Map(fileNameRune, s.Allocator), s.Incarnation, n, FileExtension)
}

// fileNameRune returns the character itself if every file system allows it, otherwise an underscore.
func fileNameRune(c rune) rune {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	if strings.ContainsRune(allowed, c) {
		return c
	}
	return '_'
}
