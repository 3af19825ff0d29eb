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

// openTraces opens files, and those in directories. Files without even a header are skipped with a message.
func openTraces(cmd *cobra.Command, args []string) (traceFiles, error) {
	names, err := traceNames(args)
	if err != nil {
		return nil, err
	}
	var files traceFiles
	for _, name := range names {
		r, err := trace.Open(name)
		if errors.Is(err, trace.ErrEmpty) {
			cmd.PrintErrf("%s: empty; skipped\n", name)
			continue
		}
		if err != nil {
			files.close()
			return nil, err
		}
		for _, d := range r.Damage {
			cmd.PrintErrf("%s: %s\n", name, d)
		}
		files = append(files, r)
	}
	return files, nil
}

// close closes the files. They were only read, so an error does not matter.
func (files traceFiles) close() {
	for _, r := range files {
		_ = r.Close()
	}
}

// only returns the one file of a command that takes no more.
func (files traceFiles) only(command string) (*trace.Reader, error) {
	if len(files) != 1 {
		return nil, fmt.Errorf("%s takes one file, not %d; merge them first", command, len(files))
	}
	return files[0], nil
}

// withTraces makes a RunE of a function that takes the open files.
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
			return nil, err
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

// tracesBelow returns the trace files of a directory and of its subdirectories, which hold one allocator each.
func tracesBelow(dir string) []string {
	names, _, _ := trace.ListFiles(dir)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return names
	}
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, tracesBelow(filepath.Join(dir, e.Name()))...)
		}
	}
	return names
}
