package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

// traceFiles are open trace files.
type traceFiles []*trace.Reader

// openTraces opens trace files, including those in directories. It prints the damage of each file, and skips files
// without a header with a message.
func openTraces(cmd *cobra.Command, args []string) (traceFiles, error) {
	names, err := traceNames(args)
	if err != nil {
		return nil, err
	}
	var files traceFiles
	for _, name := range names {
		reader, err := trace.Open(name)
		if errors.Is(err, trace.ErrEmpty) {
			cmd.PrintErrf("%s: empty; skipped\n", name)
			continue
		}
		if err != nil {
			files.close()
			return nil, err
		}
		for _, damage := range reader.Damage {
			cmd.PrintErrf("%s: %s\n", name, damage)
		}
		files = append(files, reader)
	}
	return files, nil
}

// close closes the files. Errors are ignored, since the files were opened only for reading.
func (files traceFiles) close() {
	for _, reader := range files {
		_ = reader.Close()
	}
}

// single returns the only file, or an error if there is another number of files. The error contains the
// command's name.
func (files traceFiles) single(command string) (*trace.Reader, error) {
	if len(files) != 1 {
		return nil, fmt.Errorf("%s takes one file, but %d are given; merge them first", command, len(files))
	}
	return files[0], nil
}

// withTraces converts a function of open trace files to a RunE, which opens the files in the arguments, calls run and
// closes the files.
func withTraces(run func(cmd *cobra.Command, files traceFiles) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		files, err := openTraces(cmd, args)
		if err != nil {
			return err
		}
		defer files.close()
		return run(cmd, files)
	}
}

// traceNames returns args with each directory replaced by the names of the trace files in it.
func traceNames(args []string) ([]string, error) {
	var names []string
	for _, arg := range args {
		info, err := os.Stat(arg)
		if err != nil {
			return nil, fmt.Errorf("find trace files: %w", err)
		}
		if !info.IsDir() {
			names = append(names, arg)
			continue
		}
		found := tracesBelow(arg)
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: the directory has no files *%s", arg, trace.FileExtension)
		}
		names = append(names, found...)
	}
	return names, nil
}

// tracesBelow returns the names of the trace files in a directory and its subdirectories, each of which has the files
// of one allocator. A directory that cannot be read is treated as empty, as in trace.ListFiles.
func tracesBelow(dir string) []string {
	var names []string
	for _, file := range trace.ListFiles(dir) {
		names = append(names, file.Name)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return names
	}
	for _, entry := range entries {
		if entry.IsDir() {
			names = append(names, tracesBelow(filepath.Join(dir, entry.Name()))...)
		}
	}
	return names
}
