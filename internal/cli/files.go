package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// document is one resource of a YAML file.
type document struct {
	Kind     string           `yaml:"kind"`
	Metadata documentMetadata `yaml:"metadata"`
	Spec     map[string]any   `yaml:"spec"`
}

type documentMetadata struct {
	Name            string `yaml:"name"`
	ResourceVersion uint64 `yaml:"resourceVersion"`
}

// ReadResourceFile reads the resources of a YAML file. The path "-" means standard input.
func ReadResourceFile(path string) ([]resource.Resource, error) {
	if path == "-" {
		return ReadResources(os.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, code.New(code.BadUsage, "%s", err)
	}
	return ReadResources(bytes.NewReader(data))
}

// ReadResources reads resources from YAML documents and validates them. Unknown fields are
// errors.
func ReadResources(r io.Reader) ([]resource.Resource, error) {
	dec := yaml.NewDecoder(r)
	dec.KnownFields(true)
	var out []resource.Resource
	for {
		var doc document
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, code.New(code.BadResource, "%s", err)
		}
		spec, err := json.Marshal(doc.Spec)
		if err != nil {
			return nil, code.NewFieldError(code.BadResource, "spec", "%s", err)
		}
		out = append(out, resource.Resource{
			Kind:     resource.Kind(doc.Kind),
			Metadata: resource.Metadata{Name: doc.Metadata.Name, ResourceVersion: doc.Metadata.ResourceVersion},
			Spec:     spec,
		})
	}
	for _, res := range out {
		if err := resource.Validate(res); err != nil {
			return nil, err
		}
	}
	if len(out) == 0 {
		return nil, code.New(code.BadResource, "no resources in the file")
	}
	return out, nil
}
