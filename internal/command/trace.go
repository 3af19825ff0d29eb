package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

func traceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "trace",
		Short: "Read, cut, merge, anonymise and replay traces",
		Long: "Traces hold the requests that allocators received and what they decided. Record them with --trace DIR.\n" +
			"Where a command takes files, a directory stands for the trace files in it, in the order of writing.",
	}
	c.AddCommand(
		traceSummaryCommand(), traceCutCommand(), traceMergeCommand(), traceAnonymiseCommand(), traceVerifyCommand(),
		traceExportCommand(), traceShowCommand(), traceReplayCommand(), traceExtractCommand(),
	)
	return c
}

// traceFiles are open trace files.
type traceFiles []*trace.Reader

// openTraces opens files, and those in directories. Files without even a header are skipped with a message.
func openTraces(c *cobra.Command, args []string) (traceFiles, error) {
	names, err := traceNames(args)
	if err != nil {
		return nil, err
	}
	var files traceFiles
	for _, name := range names {
		r, err := trace.Open(name)
		if errors.Is(err, trace.ErrEmpty) {
			c.PrintErrf("%s: empty; skipped\n", name)
			continue
		}
		if err != nil {
			files.close()
			return nil, err
		}
		for _, d := range r.Damage {
			c.PrintErrf("%s: %s\n", name, d)
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
func withTraces(run func(c *cobra.Command, files traceFiles) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		files, err := openTraces(c, args)
		if err != nil {
			return err
		}
		defer files.close()
		return run(c, files)
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

// writeOutput creates the file that a command writes, which must not exist yet. If writing fails, the file is removed.
func writeOutput(name string, write func(*os.File) error) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s is there already; name another file with -o, or remove it", name)
	}
	if err != nil {
		return err
	}
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return runError{errors.Join(err, os.Remove(name))}
	}
	return nil
}

// outputFlag adds the flag that names the file to write.
func outputFlag(c *cobra.Command, out *string) {
	c.Flags().StringVarP(out, "output", "o", "", "file to write; it must not exist yet")
	requireFlag(c, "output")
}
