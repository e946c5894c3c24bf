package ablate

import "testing"

func TestAllMechanismsAreEnabledByDefault(t *testing.T) {
	if len(disabled) != 0 {
		t.Fatalf("%v is disabled by default", disabled)
	}
	got := parse("fetch,pace")
	if !got[CacheFetch] || !got[TargetSpeed] || got[Rank] || len(got) != 2 {
		t.Fatalf("parsed mechanisms: %v", got)
	}
}
