// Package testkit runs test suites with fixed seeds, so that every run gives the
// same verdict.
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

// seed is the seed of property tests. rapid prints it with a failure.
const seed = "20261202"

// Run runs the suite of a package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	set := func(flagName, value string) {
		if f := flag.Lookup(flagName); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "3s")
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	suite.SkipStrings = append(suite.SkipStrings, knownRed()...)
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// knownRed returns the tests that CI passes over: those of KNOWN-RED.txt, which
// .ci/run hands on and prints. Elsewhere none is passed over.
func knownRed() []string {
	var out []string
	for _, line := range strings.Split(os.Getenv("KNOWN_RED"), "\n") {
		if line != "" {
			out = append(out, regexp.QuoteMeta(line))
		}
	}
	return out
}

// Check runs a property with a number of cases.
func Check(cases string, property func(*rapid.T)) {
	if f := flag.Lookup("rapid.checks"); f != nil {
		_ = f.Value.Set(cases)
	}
	rapid.Check(ginkgo.GinkgoT(), property)
}
