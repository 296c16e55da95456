package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// PathHealth is an upstream's own word on its health. It lags or misleads: it is
// shown to operators and decides nothing where a real request can be made.
const PathHealth = "/v1/health"

const maxHealthBytes = 200

// Observer is told the end of each call. It must not block.
type Observer func(call Call, result Result)

// SetObserver sets the observer. It must be called before the first call.
func (c *Client) SetObserver(observer Observer) { c.observer = observer }

// Health asks an upstream for its own word: the status with the start of its text, or the failure.
func (c *Client) Health(ctx context.Context, address string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathHealth, nil)
	if err != nil {
		return "", err
	}
	transport := c.transport(address)
	defer c.done(address, transport)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(response.Status + " " + string(text)), nil
}
