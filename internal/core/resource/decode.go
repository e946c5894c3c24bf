package resource

import (
	"bytes"
	"encoding/json"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// DecodeSpec decodes a spec strictly. An unknown field is an error: if a misspelt limit were
// ignored, the target would be unprotected.
func DecodeSpec(spec json.RawMessage, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return code.NewFieldError(code.BadResource, "spec", "%s", err)
	}
	if dec.More() {
		return code.NewFieldError(code.BadResource, "spec", "has text after the end of the JSON value")
	}
	return nil
}

// CheckReferences returns an error if a resource that r refers to does not exist.
func CheckReferences(r Resource, exists func(Key) bool) error {
	switch r.Kind {
	case KindTarget:
		var spec TargetSpec
		if err := DecodeSpec(r.Spec, &spec); err != nil {
			return err
		}
		if !exists(Key{KindPool, spec.Pool}) {
			return code.NewFieldError(code.BadReference, "spec.pool", "no Pool %q", spec.Pool)
		}
	case KindPlannedChange:
		var spec PlannedChangeSpec
		if err := DecodeSpec(r.Spec, &spec); err != nil {
			return err
		}
		if !exists(Key{KindTarget, spec.Target}) {
			return code.NewFieldError(code.BadReference, "spec.target", "no Target %q", spec.Target)
		}
	}
	return nil
}
