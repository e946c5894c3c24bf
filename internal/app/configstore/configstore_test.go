package configstore_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var ctx = context.Background()

func newStore(t *faketable.Table) *configstore.Store {
	return configstore.New(t, func() time.Time { return time.Unix(1000, 0) })
}

func team(name string, weight int, version uint64) resource.Resource {
	return resource.Resource{
		Kind: resource.KindTeam, Spec: fmt.Appendf(nil, `{"weight":%d}`, weight),
		Metadata: resource.Metadata{Name: name, ResourceVersion: version},
	}
}

func codeOf(err error) code.Code {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return code.OK
}

func single(r resource.Resource) []resource.Resource { return []resource.Resource{r} }

var _ = Describe("accepting a change", func() {
	It("assigns revisions, generations and UIDs", func() {
		s := newStore(faketable.New())
		op, change, err := s.AcceptChange(ctx, "op-1", single(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(op.Revision).To(Equal(uint64(1)))
		uid := change.Resources[0].Metadata.UID
		Expect(uid).NotTo(BeZero())
		_, change, err = s.AcceptChange(ctx, "op-2", single(team("a", 2, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Resources[0].Metadata).To(Equal(resource.Metadata{Name: "a", Generation: 2, ResourceVersion: 2, UID: uid}))
	})

	// Guards against a lost change. Two operators read the same version of a resource and both
	// write it. The second write would overwrite the first one unnoticed.
	It("fails if the change is based on an older version", func() {
		s := newStore(faketable.New())
		_, _, err := s.AcceptChange(ctx, "op-1", single(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = s.AcceptChange(ctx, "op-2", single(team("a", 2, 0)))
		Expect(codeOf(err)).To(Equal(code.Conflict))
	})

	// Guards against a lost change. Another change is accepted between the check of the version and
	// the write. It is lost if check and write are not one transaction.
	It("fails if another change is accepted before the write", func() {
		t := faketable.New()
		s := newStore(t)
		_, _, err := s.AcceptChange(ctx, "op-1", single(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		t.BeforeCommit = func() {
			t.BeforeCommit = nil
			_, _, err := s.AcceptChange(ctx, "rival", single(team("a", 7, 1)))
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err = s.AcceptChange(ctx, "op-2", single(team("a", 2, 1)))
		Expect(codeOf(err)).To(Equal(code.Conflict))
	})

	// Guards against a pool that treats one target as two. A file has the target twice, and each
	// occurrence would get a UID of its own.
	It("fails if the change has a resource twice", func() {
		s := newStore(faketable.New())
		_, _, err := s.AcceptChange(ctx, "op", []resource.Resource{team("a", 1, 0), team("a", 2, 0)})
		Expect(codeOf(err)).To(Equal(code.BadResource))
	})

	It("makes no second change for a repeated operation", func() {
		t := faketable.New()
		s := newStore(t)
		first, _, err := s.AcceptChange(ctx, "op-1", single(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		repeated, change, err := s.AcceptChange(ctx, "op-1", single(team("a", 1, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(change).To(BeNil())
		Expect(repeated.Revision).To(Equal(first.Revision))
		Expect(t.Commits).To(Equal(1))
	})

	DescribeTable("fails for invalid references, deletions and fields",
		func(r resource.Resource, want code.Code) {
			s := newStore(faketable.New())
			_, _, err := s.AcceptChange(ctx, "base", []resource.Resource{
				{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: []byte(`{"protocol":"model"}`)},
				{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
			})
			Expect(err).NotTo(HaveOccurred())
			_, _, err = s.AcceptChange(ctx, "op", single(r))
			Expect(codeOf(err)).To(Equal(want))
		},
		Entry("a target whose pool does not exist", resource.Resource{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "u"}, Spec: []byte(`{"pool":"q","address":"127.0.0.1:1"}`)}, code.BadReference),
		Entry("the deletion of a pool that has targets", resource.Resource{Kind: resource.KindPool, Deleted: true, Metadata: resource.Metadata{Name: "p", ResourceVersion: 1}}, code.BadReference),
		Entry("the deletion of a resource that does not exist", resource.Resource{Kind: resource.KindTeam, Deleted: true, Metadata: resource.Metadata{Name: "x"}}, code.NoSuchResource),
		Entry("an unknown field", resource.Resource{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "x"}, Spec: []byte(`{"wieght":1}`)}, code.BadResource),
	)

	// Guards against a change that is reported as failed but was accepted, one that is reported as
	// accepted but was not, and one that is accepted twice. Replies and writes are lost, writes are
	// delayed and calls are refused at random. A lost reply must neither count as a failure nor
	// lead to an unconditional retry.
	It("reports the outcome of an operation correctly under random faults of the table service", func() {
		testkit.Check("1500", func(t *rapid.T) {
			table := faketable.New()
			s := newStore(table)
			injectFaults := true
			table.ChooseFault = func(bool) faketable.Fault {
				if !injectFaults {
					return faketable.NoFault
				}
				return rapid.SampledFrom([]faketable.Fault{
					faketable.NoFault, faketable.NoFault, faketable.NoFault, faketable.Refused,
					faketable.ReplyLost, faketable.WriteLost, faketable.WriteDelayed,
				}).Draw(t, "fault")
			}
			results := make(map[string]error)
			for i := range 8 {
				name := fmt.Sprintf("op-%d", i)
				_, _, results[name] = s.AcceptChange(ctx, name, single(team(fmt.Sprintf("team-%d", i), 1, 0)))
			}
			injectFaults = false
			config, err := s.Load(ctx)
			if err != nil {
				t.Fatal(err)
			}
			accepted := 0
			for name, err := range results {
				_, lookupErr := s.Operation(ctx, name)
				switch {
				case err == nil && lookupErr != nil:
					t.Fatalf("%s: reported as accepted, but was not accepted", name)
				case codeOf(err) == code.StoreDown && lookupErr == nil:
					t.Fatalf("%s: reported as not accepted, but was accepted", name)
				}
				if lookupErr == nil {
					accepted++
				}
			}
			if int(config.Revision) != accepted || len(config.Resources) != accepted {
				t.Fatalf("revision %d, %d resources, %d operations", config.Revision, len(config.Resources), accepted)
			}
		})
	})
})

var _ = Describe("reading the configuration", func() {
	It("returns the changes after a revision, or the whole configuration if they are not stored any more", func() {
		s := newStore(faketable.New())
		for i := range 300 {
			_, _, err := s.AcceptChange(ctx, fmt.Sprint(i), single(team(fmt.Sprintf("team-%d", i), 1, 0)))
			Expect(err).NotTo(HaveOccurred())
		}
		changes, snapshot, err := s.ChangesSince(ctx, 298)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot).To(BeNil())
		Expect(changes).To(HaveLen(2))
		_, snapshot, err = s.ChangesSince(ctx, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Revision).To(Equal(uint64(300)))
		Expect(snapshot.Resources).To(HaveLen(300))
	})
})
