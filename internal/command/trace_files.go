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

// openTraces opens files, and those in directories. Files without even a header are skipped with a message, and damage
// in the others is reported.
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

// close closes the files. They were only read, so an error does not matter.
func (files traceFiles) close() {
	for _, reader := range files {
		_ = reader.Close()
	}
}

// single returns the file of a command that takes exactly one.
func (files traceFiles) single(command string) (*trace.Reader, error) {
	if len(files) != 1 {
		return nil, fmt.Errorf("%s takes one file, not %d; merge them first", command, len(files))
	}
	return files[0], nil
}

// withTraces makes a RunE of a function that takes the files which the arguments name. They are closed after it.
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

// traceNames returns the names of files, with directories replaced by the trace files in them.
func traceNames(args []string) ([]string, error) {
	var names []string
	for _, arg := range args {
		info, err := os.Stat(arg)
		if err != nil {
			return nil, fmt.Errorf("find a trace: %w", err)
		}
		if !info.IsDir() {
			names = append(names, arg)
			continue
		}
		found := tracesBelow(arg)
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: no files *%s are in it", arg, trace.FileExtension)
		}
		names = append(names, found...)
	}
	return names, nil
}

// tracesBelow returns the trace files of a directory and of its subdirectories, which hold one allocator each. As in
// trace.ListFiles, a directory that cannot be read has none.
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
