package serve_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of randomized tests, unless
// SOAK_SECONDS is set.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.nofailfile": "true"}
	if os.Getenv("SOAK_SECONDS") == "" {
		settings["rapid.seed"] = "1"
		settings["rapid.checks"] = "40"
	}
	for name, value := range settings {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
