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

func traceAnonymiseCommand() *cobra.Command {
	var o anonymiseOptions
	cmd := &cobra.Command{
		Use:   "anonymise FILE --key-file FILE -o FILE",
		Short: "Replace everything that identifies someone or something by pseudonyms",
		Long:  helpText(traceAnonymiseHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  o.run,
	}
	outputFlag(cmd, &o.out)
	cmd.Flags().StringVar(&o.keyFile, "key-file", "", "file with the key, 16 bytes or more")
	cmd.Flags().BoolVar(&o.coarsen, "coarsen", false, "also round cores, memory and the like to powers of two")
	requireFlag(cmd, "key-file")
	return cmd
}

func (o *anonymiseOptions) run(cmd *cobra.Command, args []string) error {
	key, err := os.ReadFile(o.keyFile)
	if err != nil {
		return err
	}
	a, err := trace.NewAnonymiser(key)
	if err != nil {
		return fmt.Errorf("%s: %w", o.keyFile, err)
	}
	a.Coarse = o.coarsen
	files, err := openTraces(cmd, args)
	if err != nil {
		return err
	}
	defer files.close()
	file, err := files.only("anonymise")
	if err != nil {
		return err
	}
	header, err := a.Header(file.Header)
	if err != nil {
		return runError{err}
	}
	return writeOutput(o.out, func(f *os.File) error {
		w, err := trace.NewWriter(f, header)
		if err != nil {
			return err
		}
		return trace.Anonymise(file, w, a)
	})
}
