package daemon_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

// TestRequestsOverLimitAreRejected sends about four times the customer's limit of
// requests at once: some must succeed and some must be rejected with 429.
func TestRequestsOverLimitAreRejected(t *testing.T) {
	caller := start(t)
	results := make(chan *http.Response)
	for range 40 {
		go func() {
			resp, _ := post(t, "http://"+caller+completion.Path, `{"model":"fortune","prompt":"hello","max_tokens":1}`,
				http.Header{"Request-Timeout": {"0.5"}})
			results <- resp
		}()
	}
	answered, rejected := 0, 0
	for range 40 {
		resp := <-results
		if resp.StatusCode == http.StatusOK {
			answered++
			continue
		}
		assert.Check(t, resp.Header.Get("Lagoonmux-Outcome") == "not-run")
		assert.Check(t, resp.Header.Get("Retry-After") != "")
		if resp.StatusCode == http.StatusTooManyRequests {
			rejected++
		}
	}
	assert.Assert(t, answered > 0 && rejected > 0, "%d answered, %d over the limit", answered, rejected)
}
