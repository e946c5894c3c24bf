package resource

import (
	"bytes"
	"encoding/json"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// DecodeSpec reads a spec strictly: an unknown field is an error, since a misspelt
// limit that is silently ignored would leave a target unprotected.
func DecodeSpec(spec json.RawMessage, into any) error {
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return code.NewFieldError(code.BadResource, "spec", "%s", err)
	}
	if dec.More() {
		return code.NewFieldError(code.BadResource, "spec", "has text after its end")
	}
	return nil
}

// CheckReferences verifies that what r refers to exists.
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
