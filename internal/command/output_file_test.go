package command

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriteOutput_WriteFails_FileIsRemoved(t *testing.T) {
	name := filepath.Join(t.TempDir(), "out")
	errWrite := errors.New("disk full")

	err := writeOutput(name, func(*os.File) error { return errWrite })

	require.ErrorIs(t, err, errWrite)
	require.ErrorAs(t, err, new(runError))
	assert.NoFileExists(t, name)
}

func TestWriteOutput_CloseFails_IsAnError(t *testing.T) {
	name := filepath.Join(t.TempDir(), "out")

	err := writeOutput(name, func(file *os.File) error { return file.Close() }) // makes the second close fail

	require.ErrorIs(t, err, os.ErrClosed)
	assert.NoFileExists(t, name)
}

func TestWriteOutput_ExistingFile_IsKept(t *testing.T) {
	name := filepath.Join(t.TempDir(), "out")
	require.NoError(t, os.WriteFile(name, []byte("mine"), 0o600))

	err := writeOutput(name, func(*os.File) error { return nil })

	require.ErrorContains(t, err, "already exists")
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	assert.Equal(t, "mine", string(content))
}
