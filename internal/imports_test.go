// Package internal_test checks the line between the product and the platform.
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

// platformNames are names of the platform's wire and store. They stand in platform/
// only, so that another platform needs another folder and nothing else.
var platformNames = regexp.MustCompile(`Hemlockdyke-[A-Z]|rows-(tx|get|feed|parts)|hemlockdyke/platform"`)

// exempt is the binary that joins product and platform.
const exempt = "hemlockdyke-router/main.go"

func TestProductKnowsNoPlatform(t *testing.T) {
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
				if platformNames.Match(line) && !strings.HasSuffix(path, exempt) {
					t.Errorf("%s:%d names the platform: %s", path, n+1, line)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// maxPlatformLines keeps the folder a translation: what decides belongs in the product.
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
		t.Errorf("platform/ has %d lines, at most %d are meant", lines, maxPlatformLines)
	}
}
