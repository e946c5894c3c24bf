package ablate

import "testing"

func TestEverythingIsOnUnlessTheLinkerSaysOtherwise(t *testing.T) {
	if len(switched) != 0 {
		t.Fatalf("%v is off", switched)
	}
	got := parse("fetch,pace")
	if !got[CacheFetch] || !got[TargetSpeed] || got[Rank] || len(got) != 2 {
		t.Fatalf("%v", got)
	}
}
