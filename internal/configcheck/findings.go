package configcheck

import (
	"fmt"
	"slices"
)

// Severity tells what a finding means for the daemons.
type Severity int

// Severities.
const (
	Warning Severity = iota // daemons accept it, but it hardly does what was meant
	Error                   // daemons keep the previous configuration
)

// String returns the name that reports use.
func (s Severity) String() string { return [...]string{"warning", "error"}[s] }

// Finding is one mistake in a configuration.
type Finding struct {
	Severity Severity
	Entry    string // as returned by EntryName, or KindConfig
	Problem  string
	Fix      string
}

// String returns the line that reports use.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Entry, f.Problem, f.Fix)
}

// Exit statuses of a check.
const (
	StatusClean      = 0
	StatusWarnings   = 1
	StatusErrors     = 2
	StatusUnreadable = 3 // a file cannot be read
)

// Status returns the exit status for findings.
func Status(findings []Finding) int {
	status := StatusClean
	for _, f := range findings {
		if f.Severity == Error {
			return StatusErrors
		}
		status = StatusWarnings
	}
	return status
}

// checker collects the findings of one configuration.
type checker struct {
	config   *Config
	findings []Finding
	// undecoded holds the entries with a field that could not be decoded. Its zero value must
	// not be reported as missing too.
	undecoded map[string]bool
}

func (c *checker) warn(entry, fix, problem string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, entry, fmt.Sprintf(problem, args...), fix})
}

func (c *checker) fail(entry, fix, problem string, args ...any) {
	c.findings = append(c.findings, Finding{Error, entry, fmt.Sprintf(problem, args...), fix})
}

// Check returns the mistakes in a configuration, errors first. inForce is the configuration that
// it replaces, nil if unknown.
func Check(config, inForce *Config) []Finding {
	c := &checker{config: config, findings: slices.Clone(config.Decoding), undecoded: make(map[string]bool)}
	for _, f := range config.Decoding {
		if f.Severity == Error {
			c.undecoded[f.Entry] = true
		}
	}
	c.checkTop(inForce)
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return int(b.Severity) - int(a.Severity) })
	return c.findings
}

func (c *checker) checkTop(inForce *Config) {
	if c.config.Version < 1 && !c.undecoded[KindConfig] {
		c.warn(KindConfig, "number versions from 1", "the version is missing or below 1")
	}
	if len(c.config.Routes) == 0 && !c.undecoded[KindConfig] {
		c.warn(KindConfig, "add routes", "there are no routes, so all requests are refused")
	}
	if inForce != nil && c.config.Version <= inForce.Version && len(Diff(inForce, c.config)) > 0 {
		c.fail(KindConfig, "raise the version", "version %d is not above version %d in force, so daemons ignore the changes", c.config.Version, inForce.Version)
	}
}
