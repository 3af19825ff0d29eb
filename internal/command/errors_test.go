package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMissingFile_ErrorSaysWhatWasDoneAndWrapsTheCause(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for doing, open := range map[string]func() error{
		"read a gang":        func() error { _, err := readGang(missing); return err },
		"read a history":     func() error { _, err := readHistory(missing); return err },
		"find a trace":       func() error { _, err := traceNames([]string{missing}); return err },
		"no state directory": func() error { _, err := openStateDir(missing); return err },
		"read the key":       func() error { _, err := (&anonymiseOptions{keyFile: missing}).anonymiser(); return err },
	} {
		t.Run(doing, func(t *testing.T) {
			err := open()
			require.ErrorIs(t, err, os.ErrNotExist)
			require.ErrorContains(t, err, doing+": ")
			var failed runError
			assert.NotErrorAs(t, err, &failed, "a missing file is bad input")
		})
	}
}

func TestOpenStateDir_FileIsNoDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))

	_, err := openStateDir(file)

	require.ErrorContains(t, err, "is no directory")
}
