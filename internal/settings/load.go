// Package settings reads the YAML settings files of the router and the controller. Unknown keys,
// duplicate keys and values out of range are errors that name the line.
package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// Duration is a time.Duration that YAML writes with its unit, such as 250ms.
type Duration time.Duration

// UnmarshalYAML parses a duration. It refuses a number without a unit.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, such as 250ms", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML returns the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Problem describes an invalid value. Path is the dotted path of its key.
type Problem struct {
	Path    string
	Message string
}

// Validator is a settings struct that can validate its values. Validate returns nil if they are
// valid.
type Validator interface {
	Validate() []Problem
}

// LoadFile loads the settings file at path with Load.
func LoadFile(path string, settings Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return code.New(code.BadSettings, "%s", err)
	}
	return Load(data, settings)
}

// Load decodes data into settings, which holds the defaults, and validates the result. Its errors
// have the code BadSettings and name all invalid values with their lines.
func Load(data []byte, settings Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return code.New(code.BadSettings, "%s", err)
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return code.New(code.BadSettings, "more than one YAML document")
	}
	problems := settings.Validate()
	if len(problems) == 0 {
		return nil
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return code.New(code.BadSettings, "%s", err)
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("line %d: %s: %s", lineOf(&root, strings.Split(p.Path, ".")), p.Path, p.Message)
	}
	return code.New(code.BadSettings, "%s", strings.Join(lines, "; "))
}

// lineOf returns the line of the deepest key on the path that is present in the file, or 1 if
// there is none.
func lineOf(node *yaml.Node, path []string) int {
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := max(node.Line, 1)
	if len(path) == 0 || node.Kind != yaml.MappingNode {
		return line
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value != path[0] {
			continue
		}
		if len(path) == 1 {
			return node.Content[i].Line
		}
		return lineOf(node.Content[i+1], path[1:])
	}
	return line
}

// Print writes settings as YAML.
func Print(w io.Writer, settings any) error {
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(settings); err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return enc.Close()
}
