package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

// Guards against a faulty reload or drain: an invalid configuration must leave the current one in use, a valid one must
// move the subscription to the new discovery service, and SIGTERM must end the process with exit code 0.
func TestPlatform_ServesReloadsAndDrains(t *testing.T) {
	first, firstSubscribed := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	node := emulatedNode{}.listen(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first, node)
	program := startPlatformProcess(t, file, "")
	assert.Equal(t, "1", <-firstSubscribed)
	client := program.connect(t)
	client.send(healthCheck)
	assert.JSONEq(t, healthy, client.receive())
	client.send(startRequest(2))
	assert.JSONEq(t, placedReply(2), client.receive())

	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	program.signal(t, syscall.SIGHUP)
	client.send(healthCheck)
	assert.JSONEq(t, healthy, client.receive(), "an invalid configuration is not applied")
	writePlatformConfig(t, file, second, node)
	program.signal(t, syscall.SIGHUP)
	assert.Equal(t, "1", <-secondSubscribed)

	program.signal(t, syscall.SIGTERM)
	client.awaitDraining()
	require.NoError(t, program.Wait(), "the exit code is 0")
}

// Guards against a lost reload: a configuration that is incompletely written when SIGHUP arrives must be read again
// without a second signal.
func TestPlatformReload_IncompleteFile_IsReadAgain(t *testing.T) {
	first, _ := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first)
	program := startPlatformProcess(t, file, "")
	complete := platformConfig(second, defaultDescriptors)
	require.NoError(t, os.WriteFile(file, complete[:len(complete)/2], 0o600))
	program.signal(t, syscall.SIGHUP)
	client := program.connect(t)
	for range 3 {
		client.send(healthCheck)
		assert.Contains(t, client.receive(), `"rc":1`)
	}
	require.NoError(t, os.WriteFile(file, complete, 0o600))
	select {
	case <-secondSubscribed:
	case <-time.After(waitLimit):
		t.Fatal("no subscription at the new discovery service")
	}
}

// Guards against requests lost in a planned restart: those that arrive before SIGTERM, partly before it, or shortly
// after it must be answered. A second SIGTERM must have no effect, and a reload of the discovery service's address must
// still be applied.
func TestPlatformShutdown_AnswersAllAcceptedRequests(t *testing.T) {
	const partSize = 40 // bytes of the partial request that are sent before the signal
	first, _ := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	offered := make(chan codec.Tag, 10)
	release := make(chan struct{})
	node := emulatedNode{offered: offered, release: release}.listen(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first, node)
	program := startPlatformProcess(t, file, "")
	pending := program.connect(t)
	partial := program.connect(t)
	late := program.connect(t)
	observer := program.connect(t)

	pending.send(startRequest(2))
	assert.Equal(t, codec.Tag(2), <-offered)
	partial.send(startRequest(3)[:partSize])
	program.signal(t, syscall.SIGTERM)
	observer.awaitDraining()
	partial.send(startRequest(3)[partSize:])
	late.send(startRequest(4))
	program.signal(t, syscall.SIGTERM)
	writePlatformConfig(t, file, second, node)
	program.signal(t, syscall.SIGHUP)
	<-secondSubscribed
	close(release)

	for tag, client := range map[int]*platformClient{2: pending, 3: partial, 4: late} {
		assert.JSONEq(t, placedReply(tag), client.receive())
	}
	require.NoError(t, program.Wait())
}

// Guards against an event loop that stops when accept fails for lack of descriptors. The nodes and idle clients need
// more descriptors than the process may open; it must still subscribe to the discovery service, and accept and serve
// every client.
func TestPlatform_FewDescriptorsSufficeForManyNodesAndIdleClients(t *testing.T) {
	const (
		descriptors   = 64
		nodeCount     = 60
		idleClients   = 100
		activeClients = 100
	)
	discovery, subscribed := emulateDiscovery(t)
	var nodes []string
	for range nodeCount {
		nodes = append(nodes, emulatedNode{}.listen(t))
	}
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, platformConfig(discovery, descriptors, nodes...), 0o600))
	shellLine := fmt.Sprintf(`ulimit -n %d; exec "$0"`, descriptors)
	program := startPlatformProcess(t, file, shellLine)
	<-subscribed
	for range idleClients {
		program.connect(t)
	}
	for tag := 2; tag < 2+activeClients; tag++ {
		client := program.connect(t)
		client.send(startRequest(tag))
		assert.JSONEq(t, placedReply(tag), client.receive())
		require.NoError(t, client.Close())
	}
}

func TestPlatformStart_InvalidConfiguration_IsReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, "127.0.0.1:1", "127.0.0.1:1")
	valid, err := os.ReadFile(file)
	require.NoError(t, err)
	for problem, change := range map[string]struct{ from, to string }{
		"limits.sockets is 0":                        {`"sockets":256`, `"sockets":0`},
		"limits.memory_mb is -1":                     {`"memory_mb":64`, `"memory_mb":-1`},
		"journal is missing":                         {`"journal"`, `"other"`},
		"setting balancers is missing":               {`"balancers"`, `"other"`},
		"setting permissions.most_tries is \"many\"": {`"most_tries":4`, `"most_tries":"many"`},
	} {
		t.Run(problem, func(t *testing.T) {
			changed := strings.Replace(string(valid), change.from, change.to, 1)
			require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
			t.Setenv("NODE_CONFIG", file)
			var stderr strings.Builder
			assert.Equal(t, exitBadInput, Run([]string{"platform"}, io.Discard, &stderr))
			assert.Contains(t, stderr.String(), problem)
		})
	}
}

func TestPlatformStart_NoConfigurationPath_IsReported(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	var stderr strings.Builder
	assert.Equal(t, exitBadInput, Run([]string{"platform"}, io.Discard, &stderr))
	assert.Contains(t, stderr.String(), "NODE_CONFIG is not set")
}
