package settings_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/settings"
)

func TestParse(t *testing.T) {
	text, err := os.ReadFile("../../examples/quick/daemon.json")
	assert.NilError(t, err)
	s, err := settings.Parse("daemon.json", text)
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "entry-1")

	for _, c := range []struct{ name, old, new, want string }{
		{"non-loopback address", `"127.0.0.1:7002"`, `"10.0.0.1:7002"`, `daemon.json:10: peer_address: a non-loopback address requires tls`},
		{"host name", `"127.0.0.1:7001"`, `"example.com:7001"`, `daemon.json:9: operator_address: host must be an IP address`},
		{"same port twice", `"127.0.0.1:7001"`, `"127.0.0.1:7002"`, `must differ`},
		{"missing", `"zone": "sierra-a",`, ``, `zone: is required`},
		{"bad URL", `"http://127.0.0.1:7201"`, `"table"`, `daemon.json:12: platform.table: value table violates url`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("daemon.json", []byte(strings.Replace(string(text), c.old, c.new, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}
