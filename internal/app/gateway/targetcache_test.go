package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// strictDecoder rejects invalid JSON and counts the rows that it decodes.
type strictDecoder struct {
	jsonDecoder
	decoded *int
}

func (s strictDecoder) Targets(rows []replica.Row) (map[string][]placement.Target, []RejectedEntry) {
	*s.decoded += len(rows)
	pools, _ := s.jsonDecoder.Targets(rows)
	var rejected []RejectedEntry
	for _, r := range rows {
		if !json.Valid(r.Value) {
			rejected = append(rejected, RejectedEntry{Key: r.Key, RowVersion: r.Version, Err: code.New(code.BadTargetEntry, "value is not JSON")})
		}
	}
	return pools, rejected
}

var _ = Describe("the cache of decoded targets", func() {
	// Guards against using a target entry that was replaced or removed because its decoded form was
	// kept.
	It("has the same content as a complete decode after any changes", func() {
		testkit.Check("200", func(t *rapid.T) {
			cachedDecodes, changeDecodes, fullDecodes := 0, 0, 0
			l, byChange := newTargetCache(strictDecoder{decoded: &cachedDecodes}), newTargetCache(strictDecoder{decoded: &changeDecodes})
			list := make(map[string]replica.Row)
			changes := 0
			for version := uint64(1); version <= uint64(rapid.IntRange(1, 40).Draw(t, "steps")); version++ {
				var changed []replica.Row
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
					row, ok := list[key]
					if !ok {
						row = replica.Row{Key: key, Version: version, Removed: true}
					}
					changed = append(changed, row)
					changes++
				}
				byChange.apply(changed)
				if !maps.EqualFunc(byChange.rows, list, func(got *cachedRow, want replica.Row) bool {
					return got.version == want.Version && (got.rejected != nil) == !json.Valid(want.Value)
				}) {
					t.Fatalf("after changes: %v, want %v", byChange.rows, list)
				}
				var rows []replica.Row
				for _, r := range list {
					rows = append(rows, r)
				}
				pools, rejected := l.update(rows)
				if pools := byChange.pools(); (len(pools) > 0) != slices.ContainsFunc(rows, func(r replica.Row) bool { return json.Valid(r.Value) }) {
					t.Fatalf("pools with targets: %v", pools)
				}
				want, wantRejected := strictDecoder{decoded: &fullDecodes}.Targets(rows)
				if diff := mismatch(pools["p"], want["p"], rejected, wantRejected); diff != "" {
					t.Fatalf("%s", diff)
				}
			}
			if cachedDecodes > changes || changeDecodes > changes {
				t.Fatalf("decoded %d and %d rows for %d changes", cachedDecodes, changeDecodes, changes)
			}
		})
	})
})

func mismatch(got, want []placement.Target, rejected, wantRejected []RejectedEntry) string {
	if ok, _ := ConsistOf(want).Match(got); !ok && len(want)+len(got) > 0 {
		return fmt.Sprint("targets: got ", got, ", want ", want)
	}
	if ok, _ := ConsistOf(wantRejected).Match(rejected); !ok && len(rejected)+len(wantRejected) > 0 {
		return fmt.Sprint("rejected: got ", rejected, ", want ", wantRejected)
	}
	return ""
}
