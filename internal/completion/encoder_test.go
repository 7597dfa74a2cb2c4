package completion

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

func TestChunkEncoderMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id, model := rapid.String().Draw(t, "id"), rapid.String().Draw(t, "model")
		text, finish := rapid.String().Draw(t, "text"), rapid.SampledFrom([]string{"", "stop"}).Draw(t, "finish")
		chat := rapid.Bool().Draw(t, "chat")
		var got Response
		data := NewChunkEncoder(id, model, chat).Append(nil, text, finish)
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatalf("decode event data %s: %v", data, err)
		}
		var want Response
		data, _ = json.Marshal(NewChunk(id, model, text, finish, chat))
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		assert.DeepEqual(t, got, want)
	})
}
