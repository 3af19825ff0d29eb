package experiment

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriteReport_AllRunsFailed_ListsThem(t *testing.T) {
	dir := t.TempDir()
	p := decodePlan(t, smallPlan)
	p.Timeout = 1 // every run is aborted
	r := doPlan(t, p, dir)
	assert.Equal(t, 12, r.Failed)
	path, err := readResult(t, dir).WriteReport()
	require.NoError(t, err)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(text), "Runs that failed")
	assert.Contains(t, string(text), "took too long")
	assert.NotContains(t, string(text), "<img")
}

func TestWriteReport_OnePageWithPlots(t *testing.T) {
	dir := t.TempDir()
	doPlan(t, decodePlan(t, strings.Replace(smallPlan, "repeats = 3", "repeats = 8", 1)), dir)
	path, err := readResult(t, dir).WriteReport()
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(page), "&#43;", "+")
	assert.NotContains(t, text, "http://")
	assert.NotContains(t, text, "https://")
	for _, m := range []string{"core_time", "wait_p99", "list_entries", "probes"} {
		assert.Contains(t, text, "<h2>"+m)
		f, err := os.ReadFile(filepath.Join(dir, "plots", m+".png"))
		require.NoError(t, err)
		_, err = png.Decode(bytes.NewReader(f))
		require.NoError(t, err)
		assert.Contains(t, text, base64.StdEncoding.EncodeToString(f), m)
	}
	assert.Contains(t, text, "more / crash", "cells are named")
	assert.Contains(t, text, "fault &#34;crash&#34; against &#34;none&#34;", "the effect of a factor is shown")
}

func TestWriteReport_SomeRunsFailed_CountsTheOthers(t *testing.T) {
	dir := t.TempDir()
	p := decodePlan(t, smallPlan)
	crashed := Run{Plan: p.digest(), Cell: 0, Levels: []string{"few", "none"}, Seed: 2, Error: "it crashed: index out of range"}
	line, err := json.Marshal(crashed)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(smallPlan), 0o644))
	require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), append(line, '\n'), 0o644))
	r := doPlan(t, p, dir)
	assert.Equal(t, 1, r.Failed)
	got := readResult(t, dir)
	assert.Equal(t, 2, got.Estimate(p.Cells()[0], "core_time").N)
	path, err := got.WriteReport()
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(page), "seed 2: it crashed: index out of range")
	assert.Contains(t, string(page), "<h2>core_time")
}
