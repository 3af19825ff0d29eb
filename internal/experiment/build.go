package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"grebeglade/internal/simulation"
)

const maxErrorLines = 10 // lines of a failed command's standard error in its CommandError

var errNoRevision = errors.New("not a git revision")

// builds are programs of other revisions of this repository, each built once, in a temporary directory.
type builds struct {
	dir      string            // "" before the first build
	programs map[string]string // paths by revision
}

// makeBuilds builds the revisions that the levels specify. The caller must call remove on the result, also after an
// error.
func (p *Plan) makeBuilds(ctx context.Context) (*builds, error) {
	b := &builds{programs: map[string]string{}}
	for _, f := range p.Factors {
		for _, l := range f.Levels {
			if l.Build == "" || b.programs[l.Build] != "" {
				continue
			}
			if err := b.add(ctx, l.Build); err != nil {
				return b, fmt.Errorf("level %q: %w", l.Name, err)
			}
		}
	}
	return b, nil
}

func (b *builds) remove() error {
	if b.dir == "" {
		return nil
	}
	if err := os.RemoveAll(b.dir); err != nil {
		return fmt.Errorf("remove builds: %w", err)
	}
	return nil
}

// add builds the program at a revision of the repository that contains the working directory.
func (b *builds) add(ctx context.Context, revision string) error {
	if strings.HasPrefix(revision, "-") {
		return fmt.Errorf("%q: %w", revision, errNoRevision)
	}
	if err := b.makeDirectory(); err != nil {
		return err
	}
	number := len(b.programs)
	source := filepath.Join(b.dir, fmt.Sprint("src", number))
	program := filepath.Join(b.dir, fmt.Sprint("grebeglade", number))
	if err := os.MkdirAll(source, directoryMode); err != nil {
		return fmt.Errorf("create directory for build: %w", err)
	}
	if err := build(ctx, revision, source, program); err != nil {
		return err
	}
	b.programs[revision] = program
	return nil
}

// makeDirectory creates the directory of the builds, unless it exists.
func (b *builds) makeDirectory() error {
	if b.dir != "" {
		return nil
	}
	dir, err := os.MkdirTemp("", "grebeglade-build-")
	if err != nil {
		return fmt.Errorf("create directory for builds: %w", err)
	}
	b.dir = dir
	return nil
}

// build exports a revision into the directory source, and builds the file program from it.
func build(ctx context.Context, revision, source, program string) error {
	repository, err := commandOutput(ctx, "", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return fmt.Errorf("find the git repository of the working directory, which a build needs: %w", err)
	}
	archive := source + ".tar"
	for _, step := range []struct {
		dir     string
		command []string
	}{
		{strings.TrimSpace(repository), []string{"git", "archive", "--format=tar", "--output", archive, revision}},
		{source, []string{"tar", "-xf", archive}},
		{source, []string{"go", "build", "-o", program, "./cmd/grebeglade"}},
	} {
		if _, err := commandOutput(ctx, step.dir, step.command...); err != nil {
			return err
		}
	}
	return nil
}

// commandOutput runs a command in a directory and returns its standard output, also together with an error.
func commandOutput(ctx context.Context, dir string, command ...string) (string, error) {
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Dir = dir
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	stdout, err := cmd.Output()
	if err != nil {
		return string(stdout), CommandError{
			Command: strings.Join(command, " "),
			Err:     err,
			Output:  firstLines(strings.TrimSpace(stderr.String()), maxErrorLines),
		}
	}
	return string(stdout), nil
}

// firstLines returns the first n lines of a text.
func firstLines(text string, n int) string {
	lines := strings.SplitN(text, "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], "\n")
}

// simulate runs the scenario of a job with 'lab play' of another build. The arguments are the script and the settings
// of the levels.
func (b *builds) simulate(ctx context.Context, revision string, p *Plan, j job) (*simulation.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Limits.Timeout)
	defer cancel()
	command := append([]string{b.programs[revision]}, playArguments(p, j)...)
	stdout, err := commandOutput(ctx, "", command...)
	var result simulation.Result
	jsonErr := json.Unmarshal([]byte(stdout), &result)
	if jsonErr == nil {
		return &result, nil // exit status 1 reports a rule violation, which the result contains
	}
	if err == nil {
		err = jsonErr
	}
	return nil, fmt.Errorf("build %s: %w", revision, err)
}

// playArguments returns the arguments with which another build runs the scenario of a job.
func playArguments(p *Plan, j job) []string {
	arguments := []string{
		"lab", "play", p.scriptName(j.cell),
		"--virtual",
		"--json",
		"--seed", fmt.Sprint(j.seed),
	}
	for _, l := range j.cell.Levels {
		arguments = append(arguments, l.arguments()...)
	}
	return arguments
}

// arguments returns the arguments of 'lab play' for a level.
func (l *Level) arguments() (arguments []string) {
	for _, flag := range []struct {
		name  string
		value float64
	}{
		{"--nodes", float64(l.Nodes)},
		{"--allocators", float64(l.Allocators)},
		{"--rate", l.Rate},
		{"--load", l.Load},
	} {
		if flag.value > 0 {
			arguments = append(arguments, flag.name, fmt.Sprint(flag.value))
		}
	}
	if l.Length > 0 {
		arguments = append(arguments, "--for", toDuration(l.Length).String())
	}
	return arguments
}
