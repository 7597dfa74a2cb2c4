package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

// get sends a GET request with the test customer's key.
func get(t *testing.T, url string, header http.Header) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// TestLotFromAcceptanceToResult follows a lot from its acceptance (202) to its result
// and resumes its event stream in the middle.
func TestLotFromAcceptanceToResult(t *testing.T) {
	caller := "http://" + start(t)
	resp, body := post(t, caller+completion.Path, `{"model":"fortune","prompt":"wedding","max_tokens":9}`, http.Header{"Prefer": {"respond-async"}})
	assert.Equal(t, resp.StatusCode, http.StatusAccepted, body)
	location := caller + resp.Header.Get("Location")

	_, events := get(t, location, http.Header{"Last-Event-Id": {"3"}})
	for i := range 9 {
		assert.Equal(t, strings.Contains(events, fmt.Sprintf("id: %d\n", i)), i > 3, events)
	}
	assert.Assert(t, strings.HasSuffix(events, "data: [DONE]\n\n"), events)

	var status struct{ State, Outcome, Text string }
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, body = get(t, location, http.Header{})
		if json.Unmarshal([]byte(body), &status) != nil || status.Outcome == "" {
			return poll.Continue("%s", body)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	want := ""
	for i := range 9 {
		want += completion.TokenAt("wedding", i)
	}
	assert.Equal(t, status.Text, want)
	assert.Equal(t, resp.Header.Get("Lagoonmux-Outcome"), "answered")

	resp, _ = get(t, caller+"/v1/requests/unknown", http.Header{})
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, resp.Header.Get("Lagoonmux-Outcome"), "")
}
