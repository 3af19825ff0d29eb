package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

type anonymiseOptions struct {
	out     string // file to write
	keyFile string // file with the key of the pseudonyms
	coarsen bool   // round amounts to powers of two
}

const traceAnonymiseHelp = `
Replaces all names and free text, and the ids of workloads, services, requests, nodes, locations and so on, by
pseudonyms. The same key gives a name the same pseudonym in every file; keep the key to anonymise further files,
or destroy it. Times are not changed. An anonymised trace cannot be replayed, since some decisions depend on the
ids themselves.
`

// traceAnonymiseCommand defines "trace anonymise".
func traceAnonymiseCommand() *cobra.Command {
	var options anonymiseOptions
	cmd := &cobra.Command{
		Use:   "anonymise FILE --key-file FILE -o FILE",
		Short: "Replace ids, names and free text by pseudonyms",
		Long:  helpText(traceAnonymiseHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  options.run,
	}
	outputFlag(cmd, &options.out)
	cmd.Flags().StringVar(&options.keyFile, "key-file", "", "file with the key, 16 bytes or more")
	cmd.Flags().BoolVar(&options.coarsen, "coarsen", false,
		"also round cores, memory and other amounts to powers of two")
	requireFlag(cmd, "key-file")
	return cmd
}

// run writes an anonymised copy of the trace.
func (o *anonymiseOptions) run(cmd *cobra.Command, args []string) error {
	anonymiser, err := o.anonymiser()
	if err != nil {
		return err
	}
	files, err := openTraces(cmd, args)
	if err != nil {
		return err
	}
	defer files.close()
	file, err := files.single("anonymise")
	if err != nil {
		return err
	}
	header, err := anonymiser.Header(file.Header)
	if err != nil {
		return runError{err}
	}
	return writeOutput(o.out, func(out *os.File) error {
		writer, err := trace.NewWriter(out, header)
		if err != nil {
			return err
		}
		return trace.Anonymise(file, writer, anonymiser)
	})
}

// anonymiser returns an anonymiser with the key in the key file.
func (o *anonymiseOptions) anonymiser() (*trace.Anonymiser, error) {
	key, err := os.ReadFile(o.keyFile)
	if err != nil {
		return nil, fmt.Errorf("read the key: %w", err)
	}
	anonymiser, err := trace.NewAnonymiser(key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.keyFile, err)
	}
	anonymiser.Coarse = o.coarsen
	return anonymiser, nil
}
