package command

import (
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

func TestPlatform_ServesReloadsAndDrains(t *testing.T) {
	first, firstSubscribed := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	node := emulatedNode{}.listen(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first, node)
	p := startPlatformProcess(t, file, "")
	assert.Equal(t, "1", <-firstSubscribed)
	c := p.connect(t)
	c.send(healthCheck)
	assert.JSONEq(t, healthy, c.receive())
	c.send(startRequest(2))
	assert.JSONEq(t, placedReply(2), c.receive())

	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	p.signal(t, syscall.SIGHUP)
	c.send(healthCheck)
	assert.JSONEq(t, healthy, c.receive(), "it keeps its configuration")
	writePlatformConfig(t, file, second, node)
	p.signal(t, syscall.SIGHUP)
	assert.Equal(t, "1", <-secondSubscribed)

	p.signal(t, syscall.SIGTERM)
	c.awaitDraining()
	require.NoError(t, p.Wait(), "it exits with 0")
}

// A new configuration that is half written when the signal comes is read again: no second signal is needed.
func TestPlatformReload_HalfWrittenConfigurationIsReadAgain(t *testing.T) {
	first, _ := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first)
	p := startPlatformProcess(t, file, "")
	complete := platformConfig(second, 256)
	require.NoError(t, os.WriteFile(file, complete[:len(complete)/2], 0o600))
	p.signal(t, syscall.SIGHUP)
	c := p.connect(t)
	for range 3 {
		c.send(healthCheck)
		assert.Contains(t, c.receive(), `"rc":1`)
	}
	require.NoError(t, os.WriteFile(file, complete, 0o600))
	select {
	case <-secondSubscribed:
	case <-time.After(replyLimit):
		t.Fatal("no subscription at the new discovery service")
	}
}

// A planned restart: requests that arrived before the signal, in part before it, or shortly after it are answered. A
// second signal changes nothing, and a change of the discovery service's address is still followed.
func TestPlatformShutdown_AnswersAllAcceptedRequests(t *testing.T) {
	first, _ := emulateDiscovery(t)
	second, secondSubscribed := emulateDiscovery(t)
	offered, release := make(chan codec.Tag, 10), make(chan struct{})
	node := emulatedNode{offered: offered, release: release}.listen(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, first, node)
	p := startPlatformProcess(t, file, "")

	waiting, half, late, watch := p.connect(t), p.connect(t), p.connect(t), p.connect(t)
	waiting.send(startRequest(2))
	assert.Equal(t, codec.Tag(2), <-offered)
	half.send(startRequest(3)[:40])
	p.signal(t, syscall.SIGTERM)
	watch.awaitDraining()
	half.send(startRequest(3)[40:])
	late.send(startRequest(4))
	p.signal(t, syscall.SIGTERM)
	writePlatformConfig(t, file, second, node)
	p.signal(t, syscall.SIGHUP)
	<-secondSubscribed
	close(release)
	for tag, c := range map[int]*platformClient{2: waiting, 3: half, 4: late} {
		assert.JSONEq(t, placedReply(tag), c.receive())
	}
	require.NoError(t, p.Wait())
}

// More nodes than descriptors, and clients that open connections by hundreds and send nothing: the discovery service is
// subscribed to, and every client is accepted and served. This guards against an event loop that ends for good when it
// cannot accept.
func TestPlatform_FewDescriptorsSufficeForManyNodesAndIdleClients(t *testing.T) {
	const descriptors, idleClients, activeClients = 64, 100, 100
	discovery, subscribed := emulateDiscovery(t)
	var nodes []string
	for range 60 {
		nodes = append(nodes, emulatedNode{}.listen(t))
	}
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, platformConfig(discovery, descriptors, nodes...), 0o600))
	p := startPlatformProcess(t, file, `ulimit -n 64; exec "$0"`)
	<-subscribed
	for range idleClients {
		p.connect(t)
	}
	for tag := 2; tag < 2+activeClients; tag++ {
		c := p.connect(t)
		c.send(startRequest(tag))
		assert.JSONEq(t, placedReply(tag), c.receive())
		require.NoError(t, c.Close())
	}
}

func TestPlatformStart_WrongConfigurationIsReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	writePlatformConfig(t, file, "127.0.0.1:1", "127.0.0.1:1")
	good, err := os.ReadFile(file)
	require.NoError(t, err)
	for want, change := range map[string]struct{ from, to string }{
		"limits.sockets is 0":                        {`"sockets":256`, `"sockets":0`},
		"limits.memory_mb is -1":                     {`"memory_mb":64`, `"memory_mb":-1`},
		"journal is missing":                         {`"journal"`, `"other"`},
		"setting balancers is missing":               {`"balancers"`, `"other"`},
		"setting permissions.most_tries is \"many\"": {`"most_tries":4`, `"most_tries":"many"`},
	} {
		t.Run(want, func(t *testing.T) {
			changed := strings.Replace(string(good), change.from, change.to, 1)
			require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
			t.Setenv("NODE_CONFIG", file)
			var stderr strings.Builder
			assert.Equal(t, exitBadInput, Run([]string{"platform"}, io.Discard, &stderr), want)
			assert.Contains(t, stderr.String(), want)
		})
	}
}

func TestPlatformStart_EnvironmentWithoutConfigurationIsReported(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	var stderr strings.Builder
	assert.Equal(t, exitBadInput, Run([]string{"platform"}, io.Discard, &stderr))
	assert.Contains(t, stderr.String(), "NODE_CONFIG is not set")
}
