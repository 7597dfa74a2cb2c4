// Package fixedseed gives the property tests of pgregory.net/rapid a fixed seed, so
// that they use the same values in every run, and disables rapid's files of failed
// runs. Test packages import it for this side effect. The flag -rapid.seed of a test
// binary overrides the seed.
package fixedseed

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // registers the flags
)

const seed = 20261204

func init() {
	setFlag("rapid.seed", strconv.Itoa(seed))
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
