package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMissingFile_ErrorHasOperationAndCause(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for operation, open := range map[string]func() error{
		"read the gang file":       func() error { _, err := readGang(missing); return err },
		"read the history":         func() error { _, err := readHistory(missing); return err },
		"find trace files":         func() error { _, err := traceNames([]string{missing}); return err },
		"open the state directory": func() error { _, err := openStateDir(missing); return err },
		"read the key":             func() error { _, err := (&anonymiseOptions{keyFile: missing}).anonymiser(); return err },
	} {
		t.Run(operation, func(t *testing.T) {
			err := open()
			require.ErrorIs(t, err, os.ErrNotExist)
			require.ErrorContains(t, err, operation+": ")
			var failed runError
			assert.NotErrorAs(t, err, &failed, "a missing file is bad input")
		})
	}
}

func TestOpenStateDir_RegularFile_IsAnError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))

	_, err := openStateDir(file)

	require.ErrorContains(t, err, "is not a directory")
}
