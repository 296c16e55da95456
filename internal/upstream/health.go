package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// PathHealth is the path of an upstream's health endpoint. Its reply may lag or mislead: it is
// shown to operators and decides nothing where a real request can be made.
const PathHealth = "/v1/health"

const maxHealthBytes = 200

// Observer receives each call with its result. It must not block.
type Observer func(call Call, result Result)

// SetObserver sets the observer. It must be called before the first call.
func (c *Client) SetObserver(observer Observer) { c.observer = observer }

// Health requests an upstream's health endpoint and returns the status with the start of the reply's text.
func (c *Client) Health(ctx context.Context, address string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathHealth, nil)
	if err != nil {
		return "", err
	}
	transport := c.transport(address)
	defer c.finishRequest(address, transport)
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
