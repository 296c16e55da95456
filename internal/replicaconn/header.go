package replicaconn

import (
	"bytes"
	"net/http"
)

// RenderHeader returns a header in the form in which it is sent, with the empty line after it and without the lines that each
// send has of its own. The sends of one request share it: a copy of the header for each of many shards would take many times what its caller has sent.
func (c *Client) RenderHeader(header http.Header) []byte {
	own := map[string]bool{}
	for name := range header {
		if c.wire.IsMark(name) {
			own[name] = true
		}
	}
	var lines bytes.Buffer
	// A buffer takes all that is written.
	_ = header.WriteSubset(&lines, own)
	lines.WriteString("\r\n")
	return lines.Bytes()
}
