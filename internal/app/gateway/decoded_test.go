package gateway

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// strict rejects what is no JSON, and counts what it decodes.
type strict struct {
	entries
	decoded *int
}

func (s strict) Targets(rows []replica.Row) (map[string][]placement.Target, []RejectedEntry) {
	*s.decoded += len(rows)
	pools, _ := s.entries.Targets(rows)
	var rejected []RejectedEntry
	for _, r := range rows {
		if !json.Valid(r.Value) {
			rejected = append(rejected, RejectedEntry{Key: r.Key, RowVersion: r.Version, Err: code.New(code.BadTargetEntry, "no JSON")})
		}
	}
	return pools, rejected
}

var _ = Describe("a decoded list of targets", func() {
	// Symptom would be a target that is believed by an entry that it has replaced, or that is gone. Cause would be an entry
	// that was kept decoded.
	It("says what decoding all of it anew says, whatever changes", func() {
		testkit.Check("200", func(t *rapid.T) {
			kept, anew := 0, 0
			l := newDecodedList(strict{decoded: &kept})
			list := make(map[string]replica.Row)
			changes := 0
			for version := uint64(1); version <= uint64(rapid.IntRange(1, 40).Draw(t, "steps")); version++ {
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					key := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "key"))
					switch rapid.IntRange(0, 3).Draw(t, "what") {
					case 0:
						delete(list, key)
					case 1:
						list[key] = replica.Row{Key: key, Value: []byte("{"), Version: version}
					default:
						list[key] = replica.Row{Key: key, Value: []byte("{}"), Version: version}
					}
					changes++
				}
				var rows []replica.Row
				for _, r := range list {
					rows = append(rows, r)
				}
				pools, rejected := l.update(rows)
				want, wantRejected := strict{decoded: &anew}.Targets(rows)
				if fail := matches(pools["p"], want["p"], rejected, wantRejected); fail != "" {
					t.Fatalf("%s", fail)
				}
				for _, r := range rows {
					if !l.has(r.Key) {
						t.Fatalf("%s is not there", r.Key)
					}
				}
			}
			if kept > changes {
				t.Fatalf("decoded %d rows for %d changes", kept, changes)
			}
		})
	})
})

func matches(got, want []placement.Target, rejected, wantRejected []RejectedEntry) string {
	if ok, _ := ConsistOf(want).Match(got); !ok && len(want)+len(got) > 0 {
		return fmt.Sprint("targets: ", got, " for ", want)
	}
	if ok, _ := ConsistOf(wantRejected).Match(rejected); !ok && len(rejected)+len(wantRejected) > 0 {
		return fmt.Sprint("rejected: ", rejected, " for ", wantRejected)
	}
	return ""
}
