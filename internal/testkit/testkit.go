// Package testkit runs test suites with fixed seeds, so that every run has the same result.
package testkit

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rapidSeed is the seed of all property tests. rapid prints the seed when a test fails.
const rapidSeed = "20261202"

// Alone is the label of specs that run only if the flag -ginkgo.label-filter names it: they start processes and
// measure them, so that nothing else may run beside them. The Makefile runs them.
const Alone = "alone"

// Run runs the Ginkgo specs of a package as a suite with the given name. Flags of rapid on the
// command line take precedence over the defaults that are set here.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	setDefault := func(flagName, value string) {
		if f := flag.Lookup(flagName); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	setDefault("rapid.seed", rapidSeed)
	setDefault("rapid.nofailfile", "true")
	setDefault("rapid.shrinktime", "3s")
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	if suite.LabelFilter == "" {
		suite.LabelFilter = "!" + Alone
	}
	suite.SkipStrings = append(suite.SkipStrings, knownFailures()...)
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// knownFailures returns patterns for the tests that CI skips because they are known to fail:
// .ci/run passes the entries of KNOWN-RED.txt in the environment variable KNOWN_RED and prints
// them. Without this variable no test is skipped.
func knownFailures() []string {
	var out []string
	for _, line := range strings.Split(os.Getenv("KNOWN_RED"), "\n") {
		if line != "" {
			out = append(out, regexp.QuoteMeta(line))
		}
	}
	return out
}

// Check runs a property test with the given number of cases.
func Check(cases string, property func(*rapid.T)) {
	if f := flag.Lookup("rapid.checks"); f != nil {
		_ = f.Value.Set(cases)
	}
	rapid.Check(ginkgo.GinkgoT(), property)
}
