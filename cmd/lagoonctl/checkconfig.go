package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/configcheck"
	"github.com/lagoonmux/lagoonmux/platform"
)

// checkConfig prints the findings for the configuration in a file and its differences from the
// one in the file inForce, if that is not empty. It returns the exit status.
func checkConfig(out, errOut io.Writer, file, inForce string) int {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return configcheck.StatusUnreadable
	}
	var previous *configcheck.Config
	if inForce != "" {
		if previous, err = readInForce(inForce); err != nil {
			fmt.Fprintln(errOut, err)
			return configcheck.StatusUnreadable
		}
	}
	config, err := platform.ReadConfig(data)
	if err != nil {
		finding := configcheck.Finding{Severity: configcheck.Error, Entry: configcheck.KindConfig, Problem: err.Error(), Fix: "write one JSON object"}
		fmt.Fprintln(out, finding)
		return configcheck.StatusErrors
	}
	findings := configcheck.Check(config, previous)
	for _, f := range findings {
		fmt.Fprintln(out, f)
	}
	if previous != nil {
		printDifferences(out, previous, config)
	}
	return configcheck.Status(findings)
}

func printDifferences(out io.Writer, previous, config *configcheck.Config) {
	lines := configcheck.Diff(previous, config)
	if len(lines) == 0 {
		fmt.Fprintf(out, "no differences from version %d in force\n", previous.Version)
		return
	}
	fmt.Fprintf(out, "differences from version %d in force:\n", previous.Version)
	for _, line := range lines {
		fmt.Fprintln(out, " ", line)
	}
}

// readInForce reads the configuration in force. Its own mistakes are not reported.
func readInForce(file string) (*configcheck.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c, err := platform.ReadConfig(data)
	return c, errors.Wrapf(err, "configuration in force %s", file)
}
