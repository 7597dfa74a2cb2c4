// Package fixedseed makes property tests draw the same values in every run. A
// test package imports it for this effect; the flag -rapid.seed of its test
// binary chooses another seed.
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
