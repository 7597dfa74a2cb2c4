package entry

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

func modelRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		path, len(body), body)
}

// TestClientRequestForms checks that requests in the forms that common clients send are
// accepted, and that invalid ones get an error response as such clients expect it.
func TestClientRequestForms(t *testing.T) {
	f := startServer(t, &fakeBackend{token: "x"}, nil)
	for name, tt := range map[string]struct {
		path, body string
		status     int
	}{
		"text":                {completion.ChatPath, `{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0.2,"n":1,"user":"u"}`, 200},
		"parts":               {completion.ChatPath, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi "},{"type":"text","text":"there"}]}]}`, 200},
		"no content":          {completion.ChatPath, `{"model":"m","messages":[{"role":"assistant","content":null},{"role":"user","content":"hi"}]}`, 200},
		"newer limit":         {completion.ChatPath, `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_completion_tokens":2}`, 200},
		"prompt list":         {completion.Path, `{"model":"m","prompt":["a walk"],"stop":["\n"]}`, 200},
		"image":               {completion.ChatPath, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]}`, 400},
		"content is a number": {completion.ChatPath, `{"model":"m","messages":[{"role":"user","content":7}]}`, 400},
		"no such model":       {completion.ChatPath, `{"model":"other","messages":[{"role":"user","content":"hi"}]}`, 404},
		"not JSON":            {completion.ChatPath, `{`, 400},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := f.dial(t)
			send(t, c, modelRequest(tt.path, tt.body))
			resp, body := readResponse(t, r, "POST")
			assert.Equal(t, resp.StatusCode, tt.status, body)
			if tt.status == 200 {
				return
			}
			var failure completion.ErrorResponse
			assert.NilError(t, json.Unmarshal([]byte(body), &failure), body)
			assert.Equal(t, failure.Error.Type, completion.InvalidRequestError)
			assert.Equal(t, failure.Error.Code, "not-run")
			assert.Assert(t, failure.Error.Message != "")
		})
	}
}

func TestModelList(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	c, r := f.dial(t)
	send(t, c, "GET "+completion.ModelsPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\n\r\n")
	resp, body := readResponse(t, r, "GET")
	assert.Equal(t, resp.StatusCode, 200)
	var list completion.ModelList
	assert.NilError(t, json.Unmarshal([]byte(body), &list))
	assert.Equal(t, list.Object, "list")
	assert.DeepEqual(t, list.Data, []completion.Model{{ID: "m", Object: "model", OwnedBy: "lagoonmux"}})
}

func TestUnknownKeyReturnsJSONError(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	c, r := f.dial(t)
	send(t, c, "GET "+completion.ModelsPath+" HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, body := readResponse(t, r, "GET")
	assert.Equal(t, resp.StatusCode, 401)
	var failure completion.ErrorResponse
	assert.NilError(t, json.Unmarshal([]byte(body), &failure))
	assert.Equal(t, failure.Error.Type, completion.AuthenticationError)
}
