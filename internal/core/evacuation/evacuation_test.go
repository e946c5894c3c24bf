package evacuation_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

var _ = Describe("evacuation orders", func() {
	// Guards against a data centre that is used although the last update names it, or avoided
	// although the last update does not name it.
	It("are those of the last update, whatever was ordered before", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var o evacuation.Orders
			var before []string
			names := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}))
			for range 8 {
				next := names.Draw(t, "orders")
				changes := o.Update(next)
				slices.Sort(next)
				next = slices.Compact(next)
				for _, dc := range []string{"a", "b", "c", "d"} {
					is, was := slices.Contains(next, dc), slices.Contains(before, dc)
					Expect(o.IsEvacuated(dc)).To(Equal(is))
					Expect(slices.Contains(changes, evacuation.Change{DataCentre: dc, Evacuated: is})).To(Equal(is != was))
				}
				before = next
			}
		})
	})
})
