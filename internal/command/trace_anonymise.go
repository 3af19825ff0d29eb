package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

type anonymiseOptions struct {
	out     string
	keyFile string
	coarsen bool
}

const traceAnonymiseHelp = `
Replaces ids of workloads, services, requests, nodes, places and the like, names, and all free text. With one key
the same name has the same pseudonym in every file; keep the key, or destroy it. Times stay. A trace under
pseudonyms cannot be replayed: some choices rest on the ids themselves.
`

// traceAnonymiseCommand defines "trace anonymise".
func traceAnonymiseCommand() *cobra.Command {
	var options anonymiseOptions
	cmd := &cobra.Command{
		Use:   "anonymise FILE --key-file FILE -o FILE",
		Short: "Replace everything that identifies someone or something by pseudonyms",
		Long:  helpText(traceAnonymiseHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  options.run,
	}
	outputFlag(cmd, &options.out)
	cmd.Flags().StringVar(&options.keyFile, "key-file", "", "file with the key, 16 bytes or more")
	cmd.Flags().BoolVar(&options.coarsen, "coarsen", false,
		"also round cores, memory and the like to powers of two")
	requireFlag(cmd, "key-file")
	return cmd
}

// run writes a copy of the trace under pseudonyms.
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

// anonymiser returns an anonymiser with the key of the key file.
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
