// Package internal_test checks that only the folder platform/ depends on the platform.
package internal_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names of the platform's wire protocol and store. Only platform/ may use
// them: support for another platform is then one new folder and no other change.
var platformNames = regexp.MustCompile(`Hemlockdyke-[A-Z]|rows-(tx|get|feed|parts)|hemlockdyke/platform"`)

// exemptFile is the main function that connects the product and the platform.
const exemptFile = "hemlockdyke-router/main.go"

func TestProductDoesNotNamePlatform(t *testing.T) {
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "imports_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for n, line := range bytes.Split(source, []byte("\n")) {
				if platformNames.Match(line) && !strings.HasSuffix(path, exemptFile) {
					t.Errorf("%s:%d uses a name of the platform: %s", path, n+1, line)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// maxPlatformLines limits platform/ to a translation layer. Decisions belong in the product.
const maxPlatformLines = 1500

func TestPlatformStaysSmall(t *testing.T) {
	files, err := filepath.Glob("../platform/*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines += bytes.Count(source, []byte("\n"))
	}
	if lines > maxPlatformLines {
		t.Errorf("platform/ has %d lines, want at most %d", lines, maxPlatformLines)
	}
}
