package crowd_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// headCrowd is the number of clients that send long heads at once.
const headCrowd = 600

func smallestVM() vm { return vm{memoryMB: smallestMemoryMB, descriptors: smallestDescriptors} }

// Guards against holding the parsed lines of heads that never end: a line of four bytes takes many times its size.
func TestUnfinishedHeadsOfShortLines(t *testing.T) {
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), headCrowd, text(head("GET", plainPath, shortLines(headerBytes)))).awaitDone()
	n.requireWithinVM()
}

// Guards against holding the parsed header of each request uncounted, and a copy of it for its send.
func TestRequestsWithShortHeaderLines(t *testing.T) {
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), headCrowd, text(head("GET", heldPlainPath, shortLines(headerBytes))+"\r\n")).awaitDone()
	n.requireWithinVM()
}

// Guards against a copy of the header for each shard that a request is sent to.
func TestGatheredRequestsWithShortHeaderLines(t *testing.T) {
	const crowd = 150
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), crowd, text(head("GET", heldGatheredPath, shortLines(headerBytes))+"\r\n")).awaitDone()
	n.requireWithinVM()
}

// Guards against a copy of the header for each of very many shards.
func TestRequestsToManyShardsWithShortHeaderLines(t *testing.T) {
	const crowd = 60
	n := startNodeOf(t, smallestVM(), manyShards)
	sendCrowd(t, n.address(callerPort), crowd, text(head("GET", heldGatheredPath, shortLines(headerBytes))+"\r\n")).awaitDone()
	n.requireWithinVM()
}

// Guards against ordinary requests to very many shards that take more than they count.
func TestRequestsToManyShards(t *testing.T) {
	const crowd = 600
	n := startNodeOf(t, smallestVM(), manyShards)
	sendCrowd(t, n.address(callerPort), crowd, text(head("GET", heldGatheredPath, "\r\n"))).awaitDone()
	n.requireWithinVM()
}

// Guards against ordinary requests in work that take more than they count.
func TestRequestsInWork(t *testing.T) {
	const crowd = 860
	n := startNode(t, smallestVM())
	sendCrowd(t, n.address(callerPort), crowd, text(head("GET", heldPlainPath, "\r\n"))).awaitDone()
	n.requireWithinVM()
}

// Guards against heads of net/http's default size on the listeners that answer without a configuration.
func TestLongHeadsAtOtherListeners(t *testing.T) {
	const (
		crowd     = 12
		headBytes = 1000 << 10
	)
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, smallestVM())
			sendCrowd(t, n.address(port), crowd, text(head("GET", "/x", shortLines(headBytes)))).awaitDone()
			n.requireWithinVM()
		})
	}
}

// Guards against refusing what is inside the limits: the whole size of a head in its oddest form.
func TestOneOddRequestIsServedInCalm(t *testing.T) {
	const limitBytes = 16 << 10
	filled := func(lines string) string { return lines + "\r\n" }
	short := shortLines(limitBytes - len(head("GET", gatheredPath, "")) - len("\r\nabc:\n"))
	for name, lines := range map[string]string{
		"short lines":                 short,
		"equal names":                 strings.Repeat("a:\n", limitBytes/4),
		"one name of many bytes":      strings.Repeat("a", limitBytes/2) + ": 1\r\n",
		"folded lines":                "a: 1\r\n" + strings.Repeat(" 2\r\n", limitBytes/8),
		"Connection that names lines": shortLines(limitBytes/4) + "Connection: " + strings.ReplaceAll(shortLines(limitBytes/4), ":\n", ",") + "a\r\n",
		"an expectation":              "Expect: 100-continue\r\n",
		"an upgrade":                  "Connection: Upgrade\r\nUpgrade: websocket\r\n",
		"chunks of one byte":          "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", legalBodyBytes/64) + "0\r\n",
		"chunks with extensions":      "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a=b\r\nx\r\n", 100) + "0\r\n",
		"chunks and a trailer":        "Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n1\r\nx\r\n0\r\na: b\r\n",
		"chunks beside a length":      "Transfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n1\r\nx\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, smallestVM())
			for _, target := range []string{plainPath, gatheredPath} {
				require.Equal(t, http.StatusOK, n.exchange(head("GET", target, filled(lines))))
			}
		})
	}
}

// Guards against odd requests that end the process, or keep its connections or memory. Which of them are refused is net/http's
// affair.
func TestOddRequests(t *testing.T) {
	const crowd = 60
	chunked := head("POST", plainPath, "Transfer-Encoding: chunked\r\n") + "\r\n"
	for name, sent := range map[string]string{
		"empty names":                   head("GET", plainPath, strings.Repeat(": 1\r\n", 1000)) + "\r\n",
		"no colons":                     head("GET", plainPath, strings.Repeat("a\r\n", 1000)) + "\r\n",
		"control bytes":                 head("GET", plainPath, "a: \x00\x01\x7f\r\n\x02: b\r\n") + "\r\n",
		"folded lines without a first":  "GET " + plainPath + " HTTP/1.1\r\n a\r\n\r\n",
		"empty lines":                   strings.Repeat("\r\n", headerBytes),
		"no lines":                      strings.Repeat("a", 4*headerBytes),
		"a long path":                   head("GET", plainPath+"?"+strings.Repeat("&", headerBytes), "\r\n"),
		"a foreign protocol":            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"an unknown version":            "GET " + plainPath + " HTTP/9.9\r\nHost: " + callerHost + "\r\n\r\n",
		"a tunnel":                      "CONNECT " + callerHost + ":443 HTTP/1.1\r\nHost: " + callerHost + "\r\n\r\n",
		"no host":                       "GET " + plainPath + " HTTP/1.1\r\n\r\n",
		"an unknown expectation":        head("GET", plainPath, "Expect: more\r\n\r\n"),
		"an unknown transfer encoding":  head("POST", plainPath, "Transfer-Encoding: gzip\r\n\r\n"),
		"an expectation without a body": head("POST", plainPath, "Expect: 100-continue\r\n"+announced(legalBodyBytes)+"\r\n"),
		"two lengths":                   head("POST", plainPath, "Content-Length: 1\r\nContent-Length: 2\r\n\r\n") + "ab",
		"a negative length":             head("POST", plainPath, "Content-Length: -1\r\n\r\n"),
		"no chunks":                     chunked + strings.Repeat("z", headerBytes),
		"a chunk extension without end": chunked + "1;" + strings.Repeat("a", 64<<10),
		"a trailer without end":         chunked + "0\r\n" + shortLines(64<<10),
		"a time that has passed":        "GET " + plainPath + " HTTP/1.1\r\nHost: " + callerHost + "\r\nPistachiopier-Deadline-Ms: 0\r\n\r\n",
		"a time without end":            "GET " + plainPath + " HTTP/1.1\r\nHost: " + callerHost + "\r\nPistachiopier-Deadline-Ms: 9223372036854775807\r\n\r\n",
		"a time that is none":           "GET " + plainPath + " HTTP/1.1\r\nHost: " + callerHost + "\r\nPistachiopier-Deadline-Ms: soon\r\n\r\n",
		"a long id":                     head("GET", "/nowhere", "Pistachiopier-Request-Id: "+strings.Repeat("x", headerBytes)+"\r\n\r\n"),
		"many requests at once":         strings.Repeat(head("GET", plainPath, "\r\n"), 200),
		"a head behind a body":          head("POST", plainPath, "Content-Length: 2\r\n\r\n") + "ab" + head("GET", plainPath, shortLines(3<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, smallestVM())
			sendCrowd(t, n.address(callerPort), crowd, text(sent)).awaitDone()
			n.requireWithinVM()
		})
	}
}

// exchange sends a text on a new connection and returns the status of the answer, 0 if there is none.
func (n *node) exchange(sent string) int {
	conn, err := net.DialTimeout("tcp", n.address(callerPort), patience)
	require.NoError(n.t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = conn.Write([]byte(sent))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
