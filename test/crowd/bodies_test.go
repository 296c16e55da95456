package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// bodyCrowd is the number of clients that send bodies at once.
	bodyCrowd = 600
	// legalBodyBytes is the limit of the configuration, that of the users.
	legalBodyBytes = 256 << 10
	// sentBodyBytes is how much a client sends of a body without end.
	sentBodyBytes = 4 << 20
)

// announced returns the header line of a body of a length.
func announced(bytes int64) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// Guards against holding parsed headers while bodies are awaited that never come.
func TestAnnouncedBodiesThatAreNotSent(t *testing.T) {
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), bodyCrowd, text(head("POST", heldPlainPath, shortLines(headerBytes)+announced(legalBodyBytes))+"\r\n")).awaitDone()
	n.requireWithinVM()
}

// Guards against receiving bodies that are known to be too long.
func TestBodiesFarOverTheLimitThatAreAnnounced(t *testing.T) {
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), bodyCrowd, func() io.Reader {
		return io.MultiReader(strings.NewReader(head("POST", plainPath, announced(1<<40))+"\r\n"), io.LimitReader(zeros{}, sentBodyBytes))
	}).awaitDone()
	n.requireWithinVM()
}

// Guards against holding bodies that turn out to be too long.
func TestBodiesFarOverTheLimitInChunks(t *testing.T) {
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), bodyCrowd, func() io.Reader {
		return io.MultiReader(strings.NewReader(head("POST", plainPath, "Transfer-Encoding: chunked\r\n")+"\r\nfffffff\r\n"), io.LimitReader(zeros{}, sentBodyBytes))
	}).awaitDone()
	n.requireWithinVM()
}

// Guards against waiting for ever for the rest of a body that no route takes.
func TestUnfinishedBodiesWithoutARoute(t *testing.T) { requireUnfinishedBodiesEnd(t, callerPort) }

// Guards against waiting for ever for the rest of a body where none is asked for.
func TestUnfinishedBodiesAtOtherListeners(t *testing.T) {
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) { requireUnfinishedBodiesEnd(t, port) })
	}
}

func requireUnfinishedBodiesEnd(t *testing.T, port int) {
	t.Helper()
	const crowd = 100
	n := startNode(t, smallestVM())
	calm := n.descriptors()
	sendCrowd(t, n.address(port), crowd, text(head("POST", "/nowhere", announced(100))+"\r\nhalf"))
	n.requireDescriptorsBack(calm)
	n.requireWithinVM()
}

// Guards against telling a caller with a body over the limit to come back with it.
func TestABodyOverTheLimitIsRefusedAsTooLong(t *testing.T) {
	n := startNode(t, smallestVM())
	require.Equal(t, http.StatusRequestEntityTooLarge, n.exchange(head("POST", plainPath, announced(1<<40))+"\r\n"))
	require.Equal(t, http.StatusRequestEntityTooLarge, n.exchange(head("POST", plainPath, "Transfer-Encoding: chunked\r\n")+fmt.Sprintf("\r\n%x\r\n", legalBodyBytes+1)+strings.Repeat("x", legalBodyBytes+1)))
}

// zeros is a reader without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
